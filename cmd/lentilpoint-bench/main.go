// Command lentilpoint-bench runs the demo and the experiments against stand-ins.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/scenario"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/version"
)

// Exit codes of the command.
const (
	exitViolation = 1
	exitUsage     = 2
)

// errViolation reports a violated guarantee. It exits with exitViolation.
var errViolation = errs.New("a guarantee was broken")

func main() {
	err := rootCommand().Execute()
	switch {
	case err == nil:
	case errors.Is(err, errViolation):
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitViolation)
	default:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "lentilpoint-bench",
		Short:         "Run lentilpoint against stand-ins: the demo and the experiments",
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), runCommand(), listCommand(), serveCommand(), slopeCommand(), hostCommand(), pagesCommand(), eventsCommand(), soakCommand())
	return root
}

func runCommand() *cobra.Command {
	var parameters scenario.Parameters
	var asJSON bool
	run := &cobra.Command{
		Use:     "run SCENARIO",
		Short:   "Run one experiment and check its history",
		Args:    cobra.ExactArgs(1),
		Example: "  lentilpoint-bench run engine-death --seed 7 --json\n  lentilpoint-bench run engine-death --seed 7 --baseline restart",
		RunE: func(cmd *cobra.Command, arguments []string) error {
			experiment, found := scenario.Find(arguments[0])
			if !found {
				return scenario.Error.New("there is no scenario %q; see lentilpoint-bench list", arguments[0])
			}
			if !asJSON {
				parameters.Progress = func(format string, values ...any) { cmd.Printf(format+"\n", values...) }
			}
			report, err := scenario.Run(cmd.Context(), experiment, parameters)
			if err != nil {
				return err
			}
			return printReport(cmd, report, asJSON)
		},
	}
	run.Flags().Uint64Var(&parameters.Seed, "seed", 1, "seed of load and faults")
	run.Flags().StringVar(&parameters.Policy, "baseline", "", "baseline to run in place of the daemon's policy")
	run.Flags().BoolVar(&asJSON, "json", false, "print only one JSON object")
	return run
}

func printReport(cmd *cobra.Command, report scenario.Report, asJSON bool) error {
	content, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), string(content))
	if total := report.Violations.Total(); total > 0 {
		return fmt.Errorf("%w: %v", errViolation, report.Violations)
	}
	return nil
}

func listCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the experiments and their baselines",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, entry := range scenario.All() {
				fmt.Fprintf(cmd.OutOrStdout(), "%-24s %s (baselines: %s)\n", entry.Name, entry.Description, strings.Join(entry.Baselines, ", "))
			}
			return nil
		},
	}
}

// generatedPages maps each generated page to its text.
var generatedPages = map[string]func() string{
	"docs/events.md":              eventcode.Markdown,
	"docs/operators/incidents.md": model.IncidentsPage,
	"docs/operators/settings.md":  settings.Page,
}

func pagesCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "pages",
		Short: "Write the pages under docs that are generated from the code",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for path, text := range generatedPages {
				if err := os.WriteFile(path, []byte(text()), 0o644); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// eventsCommand returns the command that prints the page of log events. pagesCommand
// writes all generated pages to files.
func eventsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "events-page",
		Short: "Print the catalogue of log events, docs/events.md",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			fmt.Fprint(cmd.OutOrStdout(), eventcode.Markdown())
			return nil
		},
	}
}
