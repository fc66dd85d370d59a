// Command apricotbridge-gateway is the daemon of an entry instance on the users'
// platform. It is separate from cmd/apricotbridge, whose operator tools need more
// memory and a longer start than the daemon, on every instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"apricotbridge/internal/logs"
	"apricotbridge/platform"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "apricotbridge-gateway:", err)
		return 1
	}
	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "apricotbridge-gateway",
		Short:         "Pass callers' requests to backend servers on the users' platform",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newServe(), newCheck())
	return root
}

func newServe() *cobra.Command {
	return &cobra.Command{
		Use:   "serve",
		Short: "Run the gateway until SIGTERM, then drain it",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := platform.ReadSettings()
			if err != nil {
				return err
			}
			logWriter := logs.NewWriter(os.Stdout)
			defer logWriter.Close()
			signal.Ignore(syscall.SIGHUP)
			return platform.Run(c.Context(), s, logWriter.Sampled(0))
		},
	}
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file of the platform",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, err := platform.ParseSettings(text)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: daemon %s in %s is valid\n", args[0], s.Daemon, s.Place)
			return nil
		},
	}
}
