package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/relay"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/logs"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/reload"
	"github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/settings"
)

// relayCommand returns the command that runs this host as a relay on the users'
// platform. Each hangup makes it read its settings again.
func relayCommand(hangups <-chan os.Signal) *cobra.Command {
	var bounds settings.CallerBounds
	command := &cobra.Command{
		Use:     "relay",
		Short:   "Forward requests by route on the users' platform; settings come from the platform's file",
		Args:    cobra.NoArgs,
		Example: "  " + platform.SettingsVariable + "=/etc/lentilpoint/node.toml lentilpointd relay",
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			values, err := platform.ReadSettings(path)
			err = errors.Join(err, settings.ApplyEnvironment(cmd.Flags(), settings.EnvironmentPrefix, settings.LookupEnvironment), bounds.Check(values.Memory))
			if err != nil {
				return err
			}
			stated := values.Memory.Memory
			values.Memory = bounds.Limits(values.Memory)
			setMemoryLimit(stated, values.Memory)
			return runRelay(cmd.Context(), path, values, hangups)
		},
	}
	bounds.RegisterFlags(command.Flags())
	return command
}

// runRelay runs the relay until SIGTERM or SIGINT. The log writer stops after the
// relay, so that the relay's last lines are written.
func runRelay(ctx context.Context, path string, values relay.Settings, hangups <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	clock, metricSet := clockwork.NewRealClock(), metrics.NewSet()
	writer := logs.NewWriter(os.Stdout, clock, metricSet)
	logContext, stopLogWriter := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- writer.Serve(logContext) }()
	logger := writer.Logger(slog.LevelInfo)
	err := relay.Run(ctx, values, relay.Environment{
		Reload: reload.Source[relay.Settings]{
			Read:    func() (relay.Settings, error) { return platform.ReadSettings(path) },
			ModTime: func() (time.Time, error) { return platform.SettingsModTime(path) },
			Signals: reloadRequests(ctx, hangups),
		},
		Adapter: platform.NewAdapter(values, metricSet, logger), Clock: clock, Metrics: metricSet, Logger: logger,
	})
	stopLogWriter()
	if logErr := <-logDone; logErr != nil {
		return fmt.Errorf("log writer: %w", logErr)
	}
	return err
}
