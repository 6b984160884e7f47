package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
)

func demoCommand() *cobra.Command {
	var parameters scenario.Parameters
	demo := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole path: generations and orders while engines are killed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			parameters.Progress = func(format string, values ...any) { fmt.Fprintf(out, format+"\n", values...) }
			report, err := scenario.Run(cmd.Context(), scenario.Demo, parameters)
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "\n%s\n", scenario.DemoSummary(report))
			if total := report.Violations.Total(); total > 0 {
				return fmt.Errorf("%w: %v", errViolation, report.Violations)
			}
			return nil
		},
	}
	demo.Flags().Uint64Var(&parameters.Seed, "seed", 1, "seed of load and faults")
	demo.Flags().StringVar(&parameters.Policy, "baseline", "", "restart or no-resume: a recovery that breaks the guarantees")
	return demo
}
