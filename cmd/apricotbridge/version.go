package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version, the commit and the Go release of this program",
		Example: "  apricotbridge version",
		Args:    cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			version, commit, release := "unknown", "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, release = info.Main.Version, info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						commit = s.Value
					}
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "apricotbridge %s, commit %s, %s\n", version, commit, release)
		},
	}
}
