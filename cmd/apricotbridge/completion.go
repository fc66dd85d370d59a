package main

import "github.com/spf13/cobra"

// addCompletion adds cobra's command that prints shell completion, with an
// example for each shell. It runs after the output is set, which the command keeps
// from then on.
func addCompletion(root *cobra.Command) {
	root.InitDefaultCompletionCmd()
	for _, c := range root.Commands() {
		if c.Name() != "completion" {
			continue
		}
		c.Example = "  source <(apricotbridge completion bash)"
		for _, shell := range c.Commands() {
			shell.Example = "  apricotbridge completion " + shell.Name()
		}
	}
}
