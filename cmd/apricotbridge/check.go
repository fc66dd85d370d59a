package main

import (
	"fmt"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/operations"
)

func newCheck() *cobra.Command {
	var kind string
	c := &cobra.Command{
		Use:   "check FILE...",
		Short: "Check configurations and settings and print every fault",
		Long:  "Check files against their schema and for faults between their parts, and print each fault as file:line:column: field: message. A file is recognised as a configuration or as settings by its members.",
		Example: `  apricotbridge check samples/shrestha.jsonc samples/settings.jsonc
  apricotbridge check --kind settings daemon.jsonc`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			fileKind, err := operations.ParseFileKind(kind)
			if err != nil {
				return err
			}
			total := 0
			for _, file := range files {
				text, err := os.ReadFile(file)
				if err != nil {
					return failure(err)
				}
				faults, err := operations.Check(file, text, fileKind)
				if err != nil {
					return failure(err)
				}
				fmt.Fprint(c.OutOrStdout(), operations.FormatFaults(faults))
				total += len(faults)
			}
			if total > 0 {
				return failure(errors.Errorf("%d faults", total))
			}
			return nil
		},
	}
	c.Flags().StringVar(&kind, "kind", "", "kind of the files, configuration or settings; default is to recognise it")
	kinds := []string{string(operations.ConfigurationFile), string(operations.SettingsFile)}
	_ = c.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(kinds, cobra.ShellCompDirectiveNoFileComp)) // The flag is defined above.
	return c
}
