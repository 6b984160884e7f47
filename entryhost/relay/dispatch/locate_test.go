package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// countingProber is a Prober whose engine "a" holds the prompt "p".
type countingProber struct {
	fakeProber

	lists atomic.Int64
}

func (p *countingProber) CachedParts(_ context.Context, address string) (map[string]int, error) {
	p.lists.Add(1)
	if address == "a" {
		return map[string]int{"p": 5000}, nil
	}
	return map[string]int{}, nil
}

// locatorFunc implements PromptLocator.
type locatorFunc func(host string) (string, error)

func (f locatorFunc) Locate(_ context.Context, host, _, _ string) (string, error) { return f(host) }

// newTestTask returns a dispatcher in the data centre "here" with the parameters.
func newTestTask(parameters Parameters) *Task {
	parameters.DataCentre, parameters.Clock, parameters.Metrics = "here", clockwork.NewFakeClock(), metrics.NewSet()
	parameters.Budget = BudgetLimits{Ratio: 1, Window: time.Second, Extra: 10}
	parameters.Random, parameters.Logger = rand.New(rand.NewPCG(1, 2)), slog.New(slog.NewTextHandler(io.Discard, nil))
	return NewTask(parameters)
}

var _ = Describe("the search for the engine that holds a prompt", func() {
	It("queries the local data centre first, so that a resume puts no load on others", func() {
		local, remote := searchTargets("here", []*routing.Server{server("a", "there"), server("b", "here"), server("c", "here")})
		Expect(local).To(HaveLen(2))
		Expect(remote).To(HaveLen(1))
		Expect(remote[0].ID).To(Equal("a"))
	})

	Describe("on a fleet whose callers return to many hosts at once", func() {
		var asked []string
		var hosts []routing.Host
		var prober *countingProber

		// locate starts a search on each of the hosts and returns the results.
		locate := func(locatorErr error) []string {
			asked, hosts, prober = nil, nil, &countingProber{}
			for i := range 50 {
				hosts = append(hosts, routing.Host{Address: fmt.Sprintf("10.1.0.%d:1", i), DataCentre: "here"})
			}
			var found []string
			for i := range hosts {
				others := append(append([]routing.Host{}, hosts[:i]...), hosts[i+1:]...)
				host := newTestTask(Parameters{Self: hosts[i].Address, Prober: prober, Locator: locatorFunc(func(host string) (string, error) {
					asked = append(asked, host)
					return "a", locatorErr
				})})
				host.applyView(viewOf(server("a", "here"), server("b", "here")))
				host.applyHosts(others)
				reply := make(chan string, 1)
				host.handle(context.Background(), Locate{Service: "engine", Prompt: "p", Reply: task.Reply[string](reply)})
				for done := false; !done; {
					select {
					case server := <-reply:
						found, done = append(found, server), true
					case message := <-host.mailbox.C():
						host.handle(context.Background(), message)
					}
				}
			}
			return found
		}

		It("queries the engines from one host, since each query has a price", func() {
			Expect(locate(nil)).To(HaveEach("a"))
			Expect(asked).To(HaveLen(49))
			Expect(asked).To(HaveEach(asked[0]))
			Expect(prober.lists.Load()).To(BeNumerically("<=", 2), "one for each engine")
		})

		It("queries the engines from each host while that one does not answer", func() {
			Expect(locate(errors.New("unreachable"))).To(HaveEach("a"))
			Expect(prober.lists.Load()).To(BeNumerically(">=", 50))
		})
	})

	It("queries no engine when the queries would cost more than reading the prompt again", func() {
		var engines []*routing.Server
		for i := range maxLocalEnginesQueried + 1 {
			engines = append(engines, server(fmt.Sprintf("near-%d", i), "here"), server(fmt.Sprintf("far-%d", i), "there"))
		}
		local, remote := searchTargets("here", engines)
		Expect(local).To(BeEmpty())
		Expect(remote).To(BeEmpty())
	})
})
