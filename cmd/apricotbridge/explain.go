package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:     "explain ID [FILE...]",
		Short:   "Show what happened to a request, from the logs of the gateways",
		Long:    "Show the log lines of one request in order of time, with what happened to its servers meanwhile. Logs are read from the files, or from standard input when none is named.",
		Example: "  apricotbridge explain 9c41d07be2a35f68 gateway-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logs := []io.Reader{c.InOrStdin()}
			if len(args) > 1 {
				logs = nil
			}
			for _, name := range args[1:] {
				f, err := os.Open(name)
				if err != nil {
					return failure(err)
				}
				defer f.Close()
				logs = append(logs, f)
			}
			return failure(operations.ExplainRequest(c.OutOrStdout(), args[0], logs...))
		},
	}
}
