// Package commands holds the commands of lentilpoint, the operators' command
// line. Each command is a client of the operator API, except explain-route, which asks a
// host of the relay as its peers do.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/version"
)

// Error is the class of errors of this package.
var Error = errs.Class("lentilpoint")

// EnvironmentPrefix starts the name of the environment variable of each flag.
const EnvironmentPrefix = "LENTILPOINT_CLI_"

// defaultTimeout limits one request of a command, over all servers. A commit may
// take up to 15 s on the host.
const defaultTimeout = 20 * time.Second

// Streams are the input and outputs of a command and the lookup of its environment
// variables.
type Streams struct {
	In                io.Reader
	Out               io.Writer
	Err               io.Writer
	LookupEnvironment func(name string) (string, bool)
}

// globals holds the values of the global flags, and the streams.
type globals struct {
	servers []string
	token   string
	output  string
	timeout time.Duration
	caFile  string
	streams Streams
}

// Run runs the command line and returns its exit code. It prints an error to
// streams.Err.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	root := newRoot(streams)
	root.SetArgs(arguments)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, describeError(err))
	}
	return ExitCode(err)
}

const longHelp = `Operate lentilpoint: configuration, organisations, version moves and explanations.

Each flag can also be set by an environment variable: LENTILPOINT_CLI_ and the
flag's name in upper case, for example LENTILPOINT_CLI_SERVER or
LENTILPOINT_CLI_TOKEN. Several servers are separated by commas; the next one is
tried when one does not answer.

Exit codes:
  0  done
  1  internal error
  2  wrong usage: unknown command, flag or value
  3  refused as invalid; each problem is named with its remedy
  4  not authorised; check --token
  5  not found
  6  conflict: another change came first, or the object has ended
  7  unavailable: no server answered, or the platform is down
  8  outcome unknown; look for the commit with config history
  9  deadline exceeded
 10  the watched move was withdrawn`

func newRoot(streams Streams) *cobra.Command {
	g := &globals{streams: streams}
	root := &cobra.Command{
		Use:           "lentilpoint",
		Short:         "Operate lentilpoint: configuration, organisations, version moves and explanations",
		Long:          longHelp,
		Version:       version.String(),
		SilenceUsage:  true,
		SilenceErrors: true,
		Example: "  lentilpoint status --server https://10.0.0.7:8090 --token TOKEN\n" +
			"  lentilpoint moves start advisor --to advisor-v2 --deadline 2h --watch",
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error { return g.prepare(cmd) },
	}
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return asUsageError(err) })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&g.servers, "server", []string{"http://127.0.0.1:8090"}, "base URL of an entry host's operator API; repeat it to name others that are tried next")
	flags.StringVar(&g.token, "token", "", "bearer token of the operator API")
	flags.StringVar(&g.output, "output", "table", "format of the output: table, json or yaml")
	flags.DurationVar(&g.timeout, "timeout", defaultTimeout, "longest time of one request, over all servers")
	flags.StringVar(&g.caFile, "ca-file", "", "PEM file with certificates that are trusted besides the system's")
	root.AddCommand(configCommand(g), questionnaireCommand(g), servicesCommand(g), organisationsCommand(g),
		movesCommand(g), statusCommand(g), eventsCommand(g), explainCommand(g), explainRouteCommand(g))
	markUsage(root)
	return root
}

// prepare sets flags from the environment and validates the global flags.
func (g *globals) prepare(cmd *cobra.Command) error {
	return g.prepareWithFormats(cmd)
}

// prepareWithFormats is prepare for a command that has more output formats.
func (g *globals) prepareWithFormats(cmd *cobra.Command, formats ...string) error {
	if err := settings.ApplyEnvironment(cmd.Flags(), EnvironmentPrefix, g.streams.LookupEnvironment); err != nil {
		return asUsageError(err)
	}
	formats = append([]string{"table", "json", "yaml"}, formats...)
	if !slices.Contains(formats, g.output) {
		return asUsageError(Error.New("--output %q is not a format; use one of %v", g.output, formats))
	}
	if g.timeout <= 0 {
		return asUsageError(Error.New("--timeout must be positive, as in 20s"))
	}
	if len(g.servers) == 0 {
		return asUsageError(Error.New("--server is empty; name the operator API of an entry host"))
	}
	return nil
}

// usageError marks an error as wrong usage, which exits with ExitUsage.
type usageError struct{ error }

// Unwrap returns the marked error.
func (u usageError) Unwrap() error { return u.error }

func asUsageError(err error) error { return usageError{err} }

// markUsage makes the command and its subcommands report a wrong number of
// arguments as wrong usage.
func markUsage(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, arguments []string) error {
			if err := check(cmd, arguments); err != nil {
				return asUsageError(Error.New("%v; see %s --help", err, cmd.CommandPath()))
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		markUsage(child)
	}
}

// commandGroup returns a command that only has subcommands. Without one it prints
// its help.
func commandGroup(use, short string, subcommands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return asUsageError(Error.New("there is no command %q; see %s --help", arguments[0], cmd.CommandPath()))
			}
			return cmd.Help()
		},
	}
	cmd.AddCommand(subcommands...)
	return cmd
}

// describeError returns the text that is printed for an error.
func describeError(err error) string {
	var requestErr *requestError
	if !errors.As(err, &requestErr) {
		return "error: " + err.Error()
	}
	return requestErr.text()
}
