package main

import "github.com/juju/errors"

// exitCode returns the exit code of err. An error without a code is a usage error,
// because cobra reports usage errors as plain errors.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitUsage
}

// failure wraps an error of the input, of a command or of a broken guarantee.
func failure(err error) error { return wrapExitCode(exitFailure, err) }

// unavailable wraps an error of a system that cannot be reached.
func unavailable(err error) error { return wrapExitCode(exitUnavailable, err) }

func wrapExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}
