package main

import "github.com/spf13/cobra"

// addCompletion adds cobra's completion command, with an example for each shell.
// Call it after SetOut: the completion command keeps the output writer that is set
// at that time.
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
