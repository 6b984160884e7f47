// Command lentilpointd is the daemon of an entry host.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/version"
)

func main() {
	// Before anything else, since a signal without a handler ends the process.
	hangups := notifyHangups()
	ignoreBrokenPipes()
	if err := rootCommand(hangups).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func rootCommand(hangups <-chan os.Signal) *cobra.Command {
	var values settings.Settings
	daemon := &cobra.Command{
		Use:           "lentilpointd",
		Short:         "Serve generations and plain services on this entry host",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		Example: "  lentilpointd --host-id entry-1 --data-centre jkt --caller-address 10.0.0.7:8080 --platform-url http://10.0.0.5:7000\n" +
			"  LENTILPOINT_HOST_ID=entry-1 lentilpointd --data-centre jkt --platform-url http://10.0.0.5:7000",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := settings.ApplyEnvironment(cmd.Flags(), settings.EnvironmentPrefix, settings.LookupEnvironment); err != nil {
				return err
			}
			if err := values.Check(); err != nil {
				return err
			}
			return run(cmd.Context(), values)
		},
	}
	settings.RegisterFlags(daemon.Flags(), &values)
	daemon.AddCommand(relayCommand(hangups))
	return daemon
}

// run serves until SIGTERM or SIGINT starts a graceful shutdown, or the supervisor
// tree fails.
func run(ctx context.Context, values settings.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	setMemoryLimit(int64(values.MachineMemoryMB)*1e6, values.Limits())
	logger := values.NewLogger(os.Stderr)
	slog.SetDefault(logger)
	return entryhost.Run(ctx, values, entryhost.Environment{
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: logger, Platform: usersplatform.NewServices(values.PlatformURL),
	})
}

// setMemoryLimit lets the collector keep the heap below the stated memory of the machine. It
// works as usual while less is in use, or if no memory is stated.
func setMemoryLimit(stated int64, limits memory.Limits) {
	if stated > 0 {
		debug.SetMemoryLimit(limits.SoftLimit())
	}
}
