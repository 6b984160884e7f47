// Package commands holds the commands of lentilpoint, the operators' command
// line. Each command is a client of the operator API.
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

// defaultTimeout bounds a command. A commit may take up to 15 s on the host.
const defaultTimeout = 20 * time.Second

// Streams are what a command reads and writes, and how it reads its environment.
type Streams struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Lookup func(name string) (string, bool)
}

// globals are the values of the global flags.
type globals struct {
	servers []string
	token   string
	output  string
	timeout time.Duration
	caFile  string
	streams Streams
}

// Run runs the command line and returns the exit code.
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
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	flags := root.PersistentFlags()
	flags.StringSliceVar(&g.servers, "server", []string{"http://127.0.0.1:8090"}, "base URL of an entry host's operator API; repeat it to name others that are tried next")
	flags.StringVar(&g.token, "token", "", "bearer token of the operator API")
	flags.StringVar(&g.output, "output", "table", "format of the output: table, json or yaml")
	flags.DurationVar(&g.timeout, "timeout", defaultTimeout, "longest time of one request, over all servers")
	flags.StringVar(&g.caFile, "ca-file", "", "PEM file with certificates that are trusted besides the system's")
	root.AddCommand(configCommand(g), questionnaireCommand(g), servicesCommand(g), organisationsCommand(g),
		movesCommand(g), statusCommand(g), eventsCommand(g), explainCommand(g))
	markUsage(root)
	return root
}

// prepare applies the environment and checks the global flags.
func (g *globals) prepare(cmd *cobra.Command) error {
	return g.prepareAllowing(cmd)
}

// prepareAllowing is prepare for a command with further output formats.
func (g *globals) prepareAllowing(cmd *cobra.Command, formats ...string) error {
	if err := settings.ApplyEnvironment(cmd.Flags(), EnvironmentPrefix, g.streams.Lookup); err != nil {
		return usage(err)
	}
	formats = append([]string{"table", "json", "yaml"}, formats...)
	if !slices.Contains(formats, g.output) {
		return usage(Error.New("--output %q is not a format; use one of %v", g.output, formats))
	}
	if g.timeout <= 0 {
		return usage(Error.New("--timeout must be positive, as in 20s"))
	}
	if len(g.servers) == 0 {
		return usage(Error.New("--server is empty; name the operator API of an entry host"))
	}
	return nil
}

// usageError marks wrong usage.
type usageError struct{ error }

// Unwrap returns the cause.
func (u usageError) Unwrap() error { return u.error }

func usage(err error) error { return usageError{err} }

// markUsage marks errors about the number of arguments as wrong usage.
func markUsage(cmd *cobra.Command) {
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, arguments []string) error {
			if err := check(cmd, arguments); err != nil {
				return usage(Error.New("%v; see %s --help", err, cmd.CommandPath()))
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		markUsage(child)
	}
}

// group is a command that only holds others.
func group(use, short string, children ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, arguments []string) error {
			if len(arguments) > 0 {
				return usage(Error.New("there is no command %q; see %s --help", arguments[0], cmd.CommandPath()))
			}
			return cmd.Help()
		},
	}
	cmd.AddCommand(children...)
	return cmd
}

// describeError returns what the operator reads.
func describeError(err error) string {
	var refused *refusal
	if !errors.As(err, &refused) {
		return "error: " + err.Error()
	}
	return refused.text()
}
