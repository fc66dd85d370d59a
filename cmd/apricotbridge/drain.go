package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

func newDrain() *cobra.Command {
	var connection connectionFlags
	var within time.Duration
	c := &cobra.Command{
		Use:   "drain ADDRESS",
		Short: "Drain a daemon: finish its requests and exit",
		Long:  "Drain the daemon at an operator address. It leaves the list of entries at once, refuses new requests as not run, and exits when the accepted requests are finished or the time is over. The command returns when the daemon has accepted the drain.",
		Example: `  apricotbridge drain 127.0.0.1:7003
  apricotbridge drain 192.0.2.7:7003 --within 30s`,
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if within < 0 {
				return fmt.Errorf("--within %v is negative", within)
			}
			if err := connection.resolve(); err != nil {
				return err
			}
			status, err := connection.operatorClient().Drain(c.Context(), args[0], within)
			if err != nil {
				return withExitCode(err)
			}
			fmt.Fprintf(c.OutOrStdout(), "%s is draining\n", status.Daemon)
			return nil
		},
	}
	connection.addTokenFlag(c)
	c.Flags().DurationVar(&within, "within", 0, "time limit for the requests in flight; default is the limit in the daemon's settings")
	return c
}
