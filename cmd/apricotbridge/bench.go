package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"apricotbridge/internal/bench"
)

func newBench() *cobra.Command {
	c := &cobra.Command{
		Use:   "bench",
		Short: "Run the benchmarks and compare their results",
		Example: `  apricotbridge bench list
  apricotbridge bench run admission --output table`,
		Args: cobra.NoArgs,
	}
	c.AddCommand(newBenchList(), newBenchRun(), newBenchCompare())
	return c
}

func newBenchList() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the measures",
		Example: "  apricotbridge bench list",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, m := range bench.Measures() {
				fmt.Fprintf(c.OutOrStdout(), "%-16s %s\n", m.Name, m.Short)
			}
			return nil
		},
	}
}

func newBenchRun() *cobra.Command {
	var seed uint64
	var out, output string
	var plots bool
	c := &cobra.Command{
		Use:     "run [MEASURE...]",
		Short:   "Run measures and check their bounds",
		Long:    "Run the named measures, or all, print their figures and write them to DIR/results.json. The exit code is 1 when a figure is on the wrong side of its bound.",
		Example: "  apricotbridge bench run gossip spread --seed 1 --out results",
		RunE: func(c *cobra.Command, names []string) error {
			if err := checkOutput(output); err != nil {
				return err
			}
			if plots && out == "" {
				return errors.New("--plots needs --out")
			}
			command := strings.Join(append([]string{"apricotbridge bench run"}, names...), " ") + fmt.Sprintf(" --seed %d", seed)
			run, err := bench.RunAll(names, seed, command)
			if err != nil {
				return failure(err)
			}
			if out != "" {
				if err := os.MkdirAll(out, 0o755); err != nil {
					return failure(err)
				}
				if err := run.WriteFile(filepath.Join(out, "results.json")); err != nil {
					return failure(err)
				}
			}
			if plots {
				if _, err := bench.Plot(out, run.Results); err != nil {
					return failure(err)
				}
			}
			if output == outputJSON {
				err = writeJSON(c.OutOrStdout(), run)
			} else {
				err = bench.WriteTable(c.OutOrStdout(), run.Results)
			}
			if err != nil {
				return failure(err)
			}
			return failure(run.Check())
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the traces")
	c.Flags().StringVar(&out, "out", "", "directory for the results")
	c.Flags().BoolVar(&plots, "plots", false, "write an SVG file for each measure to the directory")
	addOutputFlag(c, &output)
	return c
}

func newBenchCompare() *cobra.Command {
	return &cobra.Command{
		Use:     "compare OLD NEW",
		Short:   "Compare two result files",
		Long:    "Print the ratio of each figure of two result files. The exit code is 1 when a figure got worse by more than 5% or is over its bound.",
		Example: "  apricotbridge bench compare docs/bench/slopes.json results/results.json",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, files []string) error {
			before, err := bench.ReadReport(files[0])
			if err != nil {
				return failure(err)
			}
			after, err := bench.ReadReport(files[1])
			if err != nil {
				return failure(err)
			}
			changes, err := bench.Compare(before.Results, after.Results)
			if writeErr := bench.WriteChanges(c.OutOrStdout(), changes); writeErr != nil {
				return failure(writeErr)
			}
			if err != nil {
				return failure(err)
			}
			return failure(after.Check())
		},
	}
}
