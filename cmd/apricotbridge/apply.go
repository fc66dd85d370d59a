package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
)

func newApply() *cobra.Command {
	var connection connectionFlags
	var expect int64
	var within time.Duration
	c := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check a configuration and put it in force",
		Long: `Check a configuration and store it by compare-and-swap on the revision that was
read. When another operator has applied one in between, or --expect names another
revision, nothing is written and the difference is shown. Applying the stored
configuration again succeeds, so an apply that was interrupted can be repeated.

Exit codes: 0 stored, 1 faults or a conflict, 2 wrong usage, 3 the key-value
service was not reached or the outcome is unknown.`,
		Example: `  apricotbridge apply --key-value http://127.0.0.1:7100 samples/shrestha.jsonc
  apricotbridge apply --settings samples/settings.jsonc --expect 17 shrestha.jsonc`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return failure(err)
			}
			if err := connection.resolve(); err != nil {
				return err
			}
			var expected *int64
			if c.Flags().Changed("expect") {
				expected = &expect
			}
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			applied, err := operations.Apply(ctx, connection.keyValueClient(), args[0], text, expected)
			var conflict *operations.ConflictError
			if errors.As(err, &conflict) {
				fmt.Fprint(c.OutOrStdout(), conflict.Diff)
			}
			if err != nil {
				return withExitCode(err)
			}
			fmt.Fprintln(c.OutOrStdout(), applied)
			return nil
		},
	}
	connection.addKeyValueFlags(c)
	c.MarkFlagsOneRequired("key-value", "settings")
	c.Flags().Int64Var(&expect, "expect", 0, "revision that must be stored now; 0 means none is stored yet")
	c.Flags().DurationVar(&within, "within", 10*time.Second, "how long to try while the key-value service is unavailable")
	return c
}
