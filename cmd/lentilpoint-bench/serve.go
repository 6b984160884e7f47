package main

import (
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/settings"
)

// serveToken is the bearer token of the operator API of the cluster.
const serveToken = "operator"

// serveCommand returns the command that runs a small cluster until it is interrupted,
// to try the API and the operators' command line.
func serveCommand() *cobra.Command {
	var seed uint64
	serve := &cobra.Command{
		Use:     "serve",
		Short:   "Run stand-ins and two entry hosts until interrupted, to try the API and the command line",
		Args:    cobra.NoArgs,
		Example: "  lentilpoint-bench serve",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			c, err := cluster.Start(ctx, cluster.Options{
				Seed: seed, EntryHosts: 2, Engines: 4, PlainServers: 2,
				Settings: func(values *settings.Settings) {
					values.OperatorAddress = "127.0.0.1:0"
					values.OperatorTokens = []string{"you=" + serveToken}
					values.CursorKeys = []string{"serve=000102030405060708090a0b0c0d0e0f"}
				},
			})
			if err != nil {
				return err
			}
			defer c.Stop()
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "running %s; interrupt to stop\n", c.Describe())
			for i, host := range c.Hosts {
				fmt.Fprintf(out, "entry host %d: callers %s, operators http://%s\n", i, c.URL(i), host.OperatorAddress())
			}
			fmt.Fprintf(out, "callers:   Authorization: Bearer %s; model %s; plain service %s\n", cluster.APIKey("bubbles"), cluster.ServiceAdvisor, cluster.ServiceOrders)
			fmt.Fprintf(out, "operators: lentilpoint status --server http://%s --token %s\n", c.Hosts[0].OperatorAddress(), serveToken)
			<-ctx.Done()
			return nil
		},
	}
	serve.Flags().Uint64Var(&seed, "seed", 1, "seed of random choices")
	return serve
}
