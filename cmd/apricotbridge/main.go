// Command apricotbridge contains the daemon between callers and backend servers
// and the tools of its operators.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	// exitFailure reports faulty input, a failed command or a broken guarantee.
	exitFailure = 1
	// exitUsage reports wrong arguments or flags.
	exitUsage = 2
	// exitUnavailable reports a system that was not reached or an unknown outcome.
	exitUnavailable = 3
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	addCompletion(root)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "apricotbridge:", err)
	return exitCode(err)
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "apricotbridge",
		Short:         "Serve models and order services on reclaimable instances",
		Example:       "  apricotbridge check samples/shrestha.jsonc",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newServe(), newStandin(), newDemo())
	root.AddCommand(newCheck(), newApply(), newShow(), newDrain(), newRequest(), newVersion(), newBench(), newExplain())
	return root
}
