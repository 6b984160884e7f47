package commands_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint/commands"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/peering"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// startRelayHost starts the dispatcher and the listener for peers of a host without a store,
// and returns its address.
func startRelayHost() string {
	GinkgoHelper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	logger, clock, set := slog.New(slog.DiscardHandler), clockwork.NewRealClock(), metrics.NewSet()
	budget := memory.NewBudget(memory.Limits{}.Complete(), clock, set, logger)
	dispatcher := dispatch.NewTask(dispatch.Parameters{DataCentre: "jkt", Clock: clock, Metrics: set, Logger: logger, Random: rand.New(rand.NewPCG(1, 2))})
	route := routing.Route{Name: "orders", Host: "api.example", Prefix: "/orders/", LatencyObjective: time.Second, Timeout: time.Second, Split: []routing.Share{{Service: "shop", Weight: 1}}}
	servers := routing.Servers{
		"shop-1": {ID: "shop-1", Service: "shop", DataCentre: "jkt", Address: "127.0.0.1:1", Version: "shop-v1"},
		"shop-2": {ID: "shop-2", Service: "shop", DataCentre: "jkt", Address: "127.0.0.1:2", Version: "shop-v1", Draining: true},
		"shop-3": {ID: "shop-3", Service: "shop", DataCentre: "sub", Address: "127.0.0.1:3", Version: "shop-v1"},
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	Expect(dispatcher.Views().Send(ctx, &catalog.View{
		Config: routing.NewConfig(1, routing.Limits{}, []routing.Route{route}, []routing.Service{{Name: "shop"}}, nil), Servers: servers,
	})).To(Succeed())
	listener := peering.NewListener(bound, budget, memory.NewTable("peers", 10, clock, set, logger), map[string]task.Mailbox[mirror.ChangesRequest]{}, dispatcher.Mailbox(),
		task.NewMailbox[suspects.Message](1), task.NewMailbox[loads.Exchange](1), task.NewMailbox[moves.StateRequest](1))
	for _, serve := range []func(context.Context) error{budget.Serve, dispatcher.Serve, listener.Serve} {
		go func() { _ = serve(ctx) }()
	}
	return bound.Addr().String()
}

var _ = Describe("explain-route", func() {
	// Guards against fields of the answer that are lost between the host and the operator.
	It("prints the server that the host would take, in each format and with flags by environment", func() {
		peer := startRelayHost()
		arguments := []string{"explain-route", "--host", "api.example", "--path", "/orders/7"}
		environment := map[string]string{"LENTILPOINT_CLI_PEER": peer}
		var r result
		Eventually(func() int { r = runWith(environment, "", arguments...); return r.code }).Should(Equal(commands.ExitDone))
		Expect(r.out).To(MatchRegexp(`shop-1 +jkt +shop-v1 +yes +- +0.30 +not_owned 0.10, new_connection 0.20`))
		Expect(r.out).To(MatchRegexp(`shop-2 +jkt +shop-v1 +no +usable +`))
		Expect(r.out).To(ContainSubstring("jitter"))
		var explained dispatch.Explanation
		Expect(json.Unmarshal([]byte(runWith(environment, "", append(arguments, "--output", "json")...).out), &explained)).To(Succeed())
		Expect(explained.Servers).To(HaveLen(3))
		Expect(explained.Servers[0].Taken).To(BeTrue())
		Expect(runWith(environment, "", append(arguments, "--output", "yaml")...).out).To(ContainSubstring("taken: true"))
	})

	// Guards against bad input that ends without a remedy or with the exit code of an
	// internal error.
	It("names the remedy for bad input", func() {
		peer := startRelayHost()
		run := func(arguments ...string) result {
			return runWith(nil, "", append([]string{"explain-route"}, arguments...)...)
		}
		Eventually(func() int { return run("--peer", peer, "--host", "api.example", "--path", "/orders/7").code }).Should(Equal(commands.ExitDone))
		for _, arguments := range [][]string{
			{"--host", "other.example", "--path", "/orders/7"}, {"--host", "api.example", "--path", "/x"}, {"--host", "api.example", "--path", "/orders/7", "--organisation", "x"},
		} {
			r := run(append(arguments, "--peer", peer)...)
			Expect(r.code).To(Equal(commands.ExitNotFound), r.err)
			Expect(r.err).To(ContainSubstring("remedy: name "))
		}
		r := run("--peer", "127.0.0.1:1", "--host", "api.example", "--path", "/orders/7")
		Expect(r.code).To(Equal(commands.ExitUnavailable))
		Expect(r.err).To(ContainSubstring("--peer"))
		Expect(run("--peer", "x", "--host", "a", "--path", "/").code).To(Equal(commands.ExitUsage))
		Expect(run("--peer", peer, "--host", "a", "--path", "x").code).To(Equal(commands.ExitUsage))
	})
})
