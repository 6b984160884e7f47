package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost/relay"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/logs"
	"github.com/lentilpoint/lentilpoint/platform"
)

// relayCommand runs this host as a relay on the users' platform.
func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "relay",
		Short:   "Forward requests by route on the users' platform; settings come from the platform's file",
		Args:    cobra.NoArgs,
		Example: "  " + platform.SettingsVariable + "=/etc/lentilpoint/node.toml lentilpointd relay",
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			return runRelay(cmd.Context(), settings)
		},
	}
}

func runRelay(ctx context.Context, settings relay.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	clock, set := clockwork.NewRealClock(), metrics.NewSet()
	writer := logs.NewWriter(os.Stdout, clock, set)
	logContext, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- writer.Serve(logContext) }()
	err := relay.Run(ctx, settings, relay.Environment{
		Adapter: platform.NewAdapter(settings), Clock: clock, Metrics: set, Logger: writer.Logger(slog.LevelInfo),
	})
	endLog()
	if failure := <-logDone; failure != nil {
		return fmt.Errorf("log writer: %w", failure)
	}
	return err
}
