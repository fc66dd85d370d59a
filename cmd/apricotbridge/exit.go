package main

import "github.com/juju/errors"

// exitCode returns the exit code of an error; one without a code is a usage
// error, because cobra reports those as plain errors.
func exitCode(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitUsage
}

// fault marks an error of the input or a broken promise.
func fault(err error) error { return withCode(exitFault, err) }

// unavailable marks an error of a system that cannot be reached.
func unavailable(err error) error { return withCode(exitUnavailable, err) }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}
