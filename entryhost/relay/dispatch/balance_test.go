package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// fixedLoads is a collector that always answers with the same loads, and grants the first
// idle one of the proposed servers.
type fixedLoads struct{ others loads.Others }

// Exchange implements LoadExchanger.
func (f fixedLoads) Exchange(_ context.Context, _ string, report loads.HostLoads) (loads.Others, error) {
	others := f.others
	for _, proposal := range report.Proposals {
		if others.Servers[proposal.Server] == (loads.Load{}) {
			others.Granted = proposal.Server
			break
		}
	}
	return others, nil
}

// newFleetTask returns the dispatcher of one of the hosts of an installation with one
// service of engines. Other hosts have prompts at the busy share of the engines.
func newFleetTask(servers, hosts, dataCentres int, busy float64) *Task {
	name := func(i int) string { return []string{"here", fmt.Sprint("there-", i)}[min(i, 1)] }
	others := loads.Others{Servers: map[string]loads.Load{}}
	var registered []*routing.Server
	for i := range servers {
		engine := server(fmt.Sprintf("10.2.%d.%d:80", i/250, i%250), name(i%dataCentres))
		registered = append(registered, engine)
		if rank := i / dataCentres; i%dataCentres == 0 && float64(rank%10) < 10*busy {
			others.Servers[engine.ID] = loads.Load{Reading: 1}
		}
	}
	var peers []routing.Host
	for i := 1; i < hosts; i++ {
		peers = append(peers, routing.Host{Address: fmt.Sprintf("10.1.%d.%d:1", i/250, i%250), DataCentre: name(i % dataCentres)})
	}
	dispatcher := newTestTask(Parameters{Self: "10.1.0.0:1", Prober: fakeProber{}, Loads: fixedLoads{others}})
	view := viewOf(registered...)
	view.Config = &routing.Config{Services: map[string]routing.Service{"engine": {Name: "engine", Engine: &routing.Engine{}}}}
	dispatcher.applyHosts(peers)
	dispatcher.applyView(view)
	dispatcher.shared["here"] = sharedLoads{others: others, askedAt: dispatcher.Clock.Now()}
	return dispatcher
}

// BenchmarkDecision measures a stream from its arrival to its end: the ask, the choice of
// an engine and of the holder of a copy, and the report that follows, in a fleet in which some engines are idle and in one in
// which all read prompts.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ servers, hosts, dataCentres int }{{20, 6, 2}, {280, 88, 4}, {3300, 360, 16}} {
		for _, busy := range []float64{0.5, 1} {
			b.Run(fmt.Sprintf("servers=%d/busy=%v", size.servers, busy), func(b *testing.B) {
				dispatcher := newFleetTask(size.servers, size.hosts, size.dataCentres, busy)
				replies := make(chan Assignment, 1)
				b.ReportAllocs()
				for b.Loop() {
					dispatcher.handle(b.Context(), Acquire{Service: "engine", Backup: true, Reply: task.Reply[Assignment](replies)})
					for len(replies) == 0 {
						dispatcher.handle(b.Context(), <-dispatcher.mailbox.C())
					}
					assigned := <-replies
					state := dispatcher.servers[assigned.Server.ID]
					state.idle = append(state.idle, idleConnection{connection: assigned.Connection, usableUntil: dispatcher.Clock.Now().Add(time.Hour)})
					dispatcher.handle(b.Context(), <-dispatcher.mailbox.C())
					dispatcher.handle(b.Context(), Release{Lease: assigned.Lease, Outcome: OutcomeSuccess})
				}
			})
		}
	}
}
