package main

import (
	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
)

func newShow() *cobra.Command {
	var connection connectionFlags
	var addresses []string
	var output string
	c := &cobra.Command{
		Use:   "show",
		Short: "Show the daemons, the configuration in force and the backend servers",
		Long:  "Show the status of each daemon: the revision in force, its backend servers, and its queues, leases and shards where it reports them. The daemons are those registered in the key-value service, or those that --operator names, which works also while that service is unreachable.",
		Example: `  apricotbridge show --key-value http://127.0.0.1:7100
  apricotbridge show --operator 127.0.0.1:7003 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if err := connection.resolve(); err != nil {
				return err
			}
			var overview operations.Overview
			if len(addresses) == 0 {
				var err error
				if overview, err = operations.Discover(c.Context(), connection.keyValueClient()); err != nil {
					return withExitCode(err)
				}
			}
			for _, address := range addresses {
				overview.Daemons = append(overview.Daemons, operations.DaemonReport{OperatorAddress: address})
			}
			showErr := operations.Show(c.Context(), connection.operatorClient(), &overview)
			var err error
			if output == outputJSON {
				err = writeJSON(c.OutOrStdout(), overview)
			} else {
				err = overview.WriteTable(c.OutOrStdout())
			}
			if err != nil {
				return failure(err)
			}
			return withExitCode(showErr)
		},
	}
	connection.addKeyValueFlags(c)
	connection.addTokenFlag(c)
	c.Flags().StringSliceVar(&addresses, "operator", nil, "operator addresses of the daemons to ask, IP:port")
	c.MarkFlagsOneRequired("key-value", "settings", "operator")
	addOutputFlag(c, &output)
	return c
}
