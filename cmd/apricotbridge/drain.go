package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func newDrain() *cobra.Command {
	var p platform
	var within time.Duration
	c := &cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Tell a daemon to finish its requests and leave",
		Long:  "Tell the daemon at an operator address to leave the list of entries at once, refuse new requests as not run, and exit when the accepted ones are finished or the time is over. The command returns when the daemon has taken the order.",
		Example: `  apricotbridge drain 127.0.0.1:7003
  apricotbridge drain 192.0.2.7:7003 --within 30s`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if within < 0 {
				return fmt.Errorf("time %v is negative", within)
			}
			if err := p.resolve(); err != nil {
				return err
			}
			status, err := p.operators().Drain(c.Context(), args[0], within)
			if err != nil {
				return outcome(err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is draining\n", status.Daemon)
			return nil
		},
	}
	p.tokenFlag(c)
	c.Flags().DurationVar(&within, "within", 0, "longest time for the requests in flight; default is that of the daemon's settings")
	return c
}
