package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/slope"
)

func slopeCommand() *cobra.Command {
	var seed uint64
	var asJSON bool
	command := &cobra.Command{
		Use:     "slope NAME",
		Short:   "Measure what a role costs as its driver grows",
		Args:    cobra.ExactArgs(1),
		Example: "  lentilpoint-bench slope peers --json",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			measurement, found := slope.Find(arguments[0])
			if !found {
				return slope.Error.New("there is no measurement %q; there are %v", arguments[0], slope.Names())
			}
			report, err := slope.Run(cmd.Context(), measurement, seed)
			if err != nil {
				return err
			}
			return printSlope(cmd, report, asJSON)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of random choices")
	command.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return command
}

func printSlope(cmd *cobra.Command, report slope.Report, asJSON bool) error {
	out := cmd.OutOrStdout()
	if asJSON {
		return json.NewEncoder(out).Encode(report)
	}
	fmt.Fprintf(out, "%s by %s (seed %d; left out: %s)\n", report.Name, report.Driver, report.Seed, report.Excluded)
	for _, point := range report.Points {
		fmt.Fprintf(out, "%10.0f  %v\n", point.Driver, point.Figures)
	}
	for name, line := range report.Fits {
		fmt.Fprintf(out, "%-28s base %.6g, slope %.6g, spread %.3g\n", name, line.Intercept, line.Slope, line.ResidualRMS)
	}
	return nil
}
