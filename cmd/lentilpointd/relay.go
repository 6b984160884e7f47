package main

import (
	"context"
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
)

// relayCommand runs this host as a relay on the users' platform.
func relayCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "relay",
		Short:   "Forward requests by route on the users' platform; settings come from the platform's file",
		Args:    cobra.NoArgs,
		Example: "  " + platform.SettingsVariable + "=/etc/lentilpoint/node.toml lentilpointd relay",
		RunE: func(cmd *cobra.Command, _ []string) error {
			path := os.Getenv(platform.SettingsVariable)
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			return runRelay(cmd.Context(), path, settings)
		},
	}
}

func runRelay(ctx context.Context, path string, settings relay.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	clock, set := clockwork.NewRealClock(), metrics.NewSet()
	writer := logs.NewWriter(os.Stdout, clock, set)
	logContext, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan error, 1)
	go func() { logDone <- writer.Serve(logContext) }()
	err := relay.Run(ctx, settings, relay.Environment{
		Reload: reload.Source[relay.Settings]{
			Read:    func() (relay.Settings, error) { return platform.ReadSettings(path) },
			ModTime: func() (time.Time, error) { return platform.SettingsModTime(path) },
			Signals: hangups(ctx),
		},
		Adapter: platform.NewAdapter(settings), Clock: clock, Metrics: set, Logger: writer.Logger(slog.LevelInfo),
	})
	endLog()
	if failure := <-logDone; failure != nil {
		return fmt.Errorf("log writer: %w", failure)
	}
	return err
}

// hangups returns a channel that receives for each SIGHUP; signals that come
// while one waits ask for the same read.
func hangups(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reads := make(chan struct{}, 1)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				select {
				case reads <- struct{}{}:
				default:
				}
			}
		}
	}()
	return reads
}
