package main

import (
	"encoding/json"
	"log/slog"
	"os"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/demo"
)

func newDemo() *cobra.Command {
	o := demo.Options{}
	var output string
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a deployment on loopback and reclaim a data centre under load",
		Long: "Run three data centres in two regions in one process on loopback, with callers of three ranks, and reclaim " +
			"a data centre midway. Every answer is checked; the exit code is 0 only when every promise held.",
		Example: "  apricotbridge demo\n  apricotbridge demo --seed 7 --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if output != "json" && output != "table" {
				return errors.Errorf("output %q is neither json nor table", output)
			}
			o.Progress, o.Log = c.ErrOrStderr(), logr.Discard()
			if verbose {
				o.Log = logr.FromSlogHandler(slog.NewTextHandler(os.Stderr, nil))
			}
			report, err := demo.Run(c.Context(), o)
			if err != nil {
				return failure(err)
			}
			if output == "json" {
				e := json.NewEncoder(c.OutOrStdout())
				e.SetIndent("", "  ")
				err = e.Encode(report)
			} else {
				err = report.Table(c.OutOrStdout())
			}
			if err == nil && !report.Held {
				err = errors.New("a promise was broken")
			}
			return failure(err)
		},
	}
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the callers and of tie breaks")
	c.Flags().DurationVar(&o.Length, "length", demo.DefaultLength, "how long callers send requests")
	c.Flags().DurationVar(&o.Notice, "notice", demo.DefaultNotice, "notice of the reclaim")
	c.Flags().StringVar(&output, "output", "table", "json or table")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the daemons' log")
	return c
}
