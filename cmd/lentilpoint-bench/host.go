package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/entryhost"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/settings"
)

// hostCommand returns the hidden command that runs one entry host. Measurements run it
// as a separate process, so that its CPU time and memory do not include those of the
// stand-ins.
func hostCommand() *cobra.Command {
	var values settings.Settings
	host := &cobra.Command{
		Use:    "entry-host",
		Short:  "Run one entry host for a measurement",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := values.Check(); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return entryhost.Run(ctx, values, entryhost.Environment{
				Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: values.NewLogger(os.Stderr), Platform: usersplatform.NewServices(values.PlatformURL),
			})
		},
	}
	settings.RegisterFlags(host.Flags(), &values)
	return host
}
