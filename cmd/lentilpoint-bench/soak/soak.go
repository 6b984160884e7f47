// Package soak runs the daemon as separate processes and injects faults from
// outside: signals, and loopback proxies on the links to the store and to
// servers. It checks the guarantees from what callers and servers see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// Error is the class of errors of this package.
var Error = errs.Class("soak")

const (
	// streamEvents is the number of events in a complete stream.
	streamEvents = 30
	zones        = 2
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 250 * time.Millisecond
	// maxFaultDuration limits the random time after which a fault is due to be undone.
	maxFaultDuration = 2 * time.Second
	// readyTimeout limits the start of the hosts.
	readyTimeout = 10 * time.Second
	// settleTime is the time within which hosts must serve again after the last
	// fault, or after the end of a shutdown that is in progress. It is the recovery
	// time of the installations.
	settleTime = 12 * time.Second
)

// Options are the seed, the size and the duration of a soak.
type Options struct {
	// Seed seeds the random choices of callers and of faults.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Hosts is the number of relay processes.
	Hosts int
	// Callers is the number of tasks that send one request after another.
	Callers int
	// Daemon is the path of the daemon's executable.
	Daemon string
	// Log receives the output of the processes.
	Log io.Writer
}

// Findings is the result of a soak.
type Findings struct {
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Served counts the requests that were answered completely with status 200.
	Served int `json:"served"`
	Faults int `json:"faults"`
	// Violations describes each violated guarantee.
	Violations []string `json:"broken"`
}

// soak is the state of the task that injects faults.
type soak struct {
	options Options
	random  *rand.Rand
	store   *standin.Store
	servers []*standin.Server
	// serverLinks lead to servers, storeLinks from each host to the store.
	serverLinks   []*link
	storeLinks    []*link
	hosts         []*relayProcess
	directory     string
	faultCount    int
	configVersion int
	// scheduledUndos end faults that are in effect.
	scheduledUndos []scheduledUndo
}

// scheduledUndo ends a fault at the first fault step after a time.
type scheduledUndo struct {
	at   time.Time
	undo func() error
}

// Run runs one soak and removes its processes and files before it returns. Violated
// guarantees are in the findings; an error means that the soak could not run.
func Run(ctx context.Context, options Options) (Findings, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	directory, err := os.MkdirTemp("", "lentilpoint-soak-")
	if err != nil {
		return Findings{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	s := &soak{options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), directory: directory}
	defer func() {
		for _, host := range s.hosts {
			host.stop()
		}
	}()
	if err := s.startComponents(ctx); err != nil {
		return Findings{}, err
	}
	return s.runWithFaults(ctx)
}

// startComponents starts the store, servers, links and hosts, and waits until the
// hosts are ready.
func (s *soak) startComponents(ctx context.Context) error {
	var err error
	if s.store, err = standin.StartStore(ctx); err != nil {
		return err
	}
	if err := s.publishConfiguration(); err != nil {
		return err
	}
	for number := range 3 * zones {
		service, events := "engine", streamEvents
		if number%3 == 2 {
			service, events = "shop", 0
		}
		if err := s.addServer(ctx, number, service, events); err != nil {
			return err
		}
	}
	seedAddress := ""
	for number := range s.options.Hosts {
		link, err := newLink(ctx, s.store.Address())
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, link)
		host, peerAddress, err := newRelayProcess(s.directory, s.options.Daemon, fmt.Sprintf("edge-%d", number), fmt.Sprintf("zone-%d", number%zones), link.address, seedAddress, s.options.Log)
		if err != nil {
			return err
		}
		if seedAddress == "" {
			seedAddress = peerAddress
		}
		s.hosts = append(s.hosts, host)
		if err := host.start(ctx); err != nil {
			return err
		}
	}
	return s.waitReady(ctx, readyTimeout)
}

// addServer starts a stand-in server, which hosts reach through a link, and registers
// it in the store.
func (s *soak) addServer(ctx context.Context, number int, service string, events int) error {
	server, err := standin.StartServer(ctx, standin.ServerOptions{
		Name: fmt.Sprintf("%s-%d", service, number), Service: service, Zone: fmt.Sprintf("zone-%d", number%zones), Version: "v1",
		Events: events, EventTime: 10 * time.Millisecond, PromptTime: 100 * time.Millisecond,
	}, s.store)
	if err != nil {
		return err
	}
	link, err := newLink(ctx, server.Address())
	if err != nil {
		return err
	}
	server.SetProxyAddress(link.address)
	s.servers, s.serverLinks = append(s.servers, server), append(s.serverLinks, link)
	return server.Register(s.store, "ready")
}

// publishConfiguration writes the next version of the configuration.
func (s *soak) publishConfiguration() error {
	s.configVersion++
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "site.example", "prefix": prefix, "route_type": kind, "timeout_ms": 6000, "target_latency_ms": 1000,
			"gap_aim_ms": 700, "service": service, "max_attempts": attempts, "stream_resume": kind == "streaming"}
	}
	return s.store.Put(platform.TableOrders, platform.KeyConfig, map[string]any{
		"version":  s.configVersion,
		"routes":   []any{route("advice", "/advice/", "streaming", "engine", 5), route("order", "/order/", "non_idempotent", "shop", 1), route("stock", "/stock/", "idempotent", "shop", 2)},
		"services": []any{map[string]any{"name": "engine", "max_connections": 600, "engine": map[string]any{"backups": true, "moves": true, "handle_s": 4}}, map[string]any{"name": "shop", "max_connections": 600}},
		"limits":   map[string]any{"max_body_bytes": 100000},
		"tenants":  []any{map[string]any{"name": "members", "api_keys": []string{"key"}}},
	})
}

// waitReady waits until all hosts report that they are ready. It restarts those that
// exit meanwhile.
func (s *soak) waitReady(ctx context.Context, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, host := range s.hosts {
		for {
			response, err := client.Get("http://" + host.readyAddress + platform.PathReady)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			// A host whose shutdown was in progress exits now; the platform restarts it.
			if err := s.restartExited(ctx); err != nil {
				return err
			}
			if time.Now().After(deadline) {
				return Error.New("%s is not ready after %s", host.name, limit)
			}
			select {
			case <-ctx.Done():
				return Error.Wrap(ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// runWithFaults runs callers and injects faults, then undoes all faults and checks the
// guarantees.
func (s *soak) runWithFaults(ctx context.Context) (Findings, error) {
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	results := make(chan outcome, s.options.Callers)
	finishedCallers := make(chan struct{}, s.options.Callers)
	var frontAddresses []string
	for _, host := range s.hosts {
		frontAddresses = append(frontAddresses, host.frontAddress)
	}
	for number := range s.options.Callers {
		c := &caller{number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(100+number))), frontAddresses: frontAddresses}
		go func() { c.run(callerContext, results); finishedCallers <- struct{}{} }()
	}
	var outcomes []outcome
	end, nextFault := time.After(s.options.Duration), time.After(meanFaultInterval)
	for running := true; running; {
		select {
		case <-ctx.Done():
			return Findings{}, Error.Wrap(ctx.Err())
		case result := <-results:
			outcomes = append(outcomes, result)
		case <-nextFault:
			if err := s.faultStep(ctx); err != nil {
				return Findings{}, err
			}
			nextFault = time.After(time.Duration(s.random.Int64N(int64(2 * meanFaultInterval))))
		case <-end:
			running = false
		}
	}
	stopCallers()
	for remaining := s.options.Callers; remaining > 0; {
		select {
		case result := <-results:
			outcomes = append(outcomes, result)
		case <-finishedCallers:
			remaining--
		}
	}
	return s.undoAndCheck(ctx, outcomes)
}

// undoAndCheck undoes all faults, waits until every host is ready again and checks the
// outcomes.
func (s *soak) undoAndCheck(ctx context.Context, outcomes []outcome) (Findings, error) {
	for _, scheduled := range s.scheduledUndos {
		if err := scheduled.undo(); err != nil {
			return Findings{}, err
		}
	}
	findings := Findings{Seed: s.options.Seed, Requests: len(outcomes), Faults: s.faultCount}
	if err := s.waitReady(ctx, settleTime+graceSeconds*time.Second); err != nil {
		findings.Violations = append(findings.Violations, err.Error())
	}
	var runs []standin.Run
	for _, server := range s.servers {
		runs = append(runs, server.Runs()...)
	}
	findings.Violations = append(findings.Violations, findViolations(outcomes, runs)...)
	for _, o := range outcomes {
		if o.err == nil && o.status == http.StatusOK {
			findings.Served++
		}
	}
	if findings.Served == 0 {
		findings.Violations = append(findings.Violations, "no request was served")
	}
	return findings, nil
}

// faultStep undoes the faults that are due, restarts hosts that have exited and injects
// one fault.
func (s *soak) faultStep(ctx context.Context) error {
	now := time.Now()
	pending := s.scheduledUndos[:0]
	for _, scheduled := range s.scheduledUndos {
		if scheduled.at.After(now) {
			pending = append(pending, scheduled)
			continue
		}
		if err := scheduled.undo(); err != nil {
			return err
		}
	}
	s.scheduledUndos = pending
	if err := s.restartExited(ctx); err != nil {
		return err
	}
	s.faultCount++
	return s.injectFault()
}

// restartExited restarts the hosts that have exited, as the platform does.
func (s *soak) restartExited(ctx context.Context) error {
	for _, host := range s.hosts {
		if !host.running() {
			if err := host.start(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// scheduleUndo schedules the end of a fault after a random time of at most
// maxFaultDuration.
func (s *soak) scheduleUndo(undo func() error) {
	s.scheduledUndos = append(s.scheduledUndos, scheduledUndo{at: time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultDuration)))), undo: undo})
}

// injectFault injects one random fault.
func (s *soak) injectFault() error {
	host, server := s.hosts[s.random.IntN(len(s.hosts))], s.random.IntN(len(s.servers))
	switch s.random.IntN(12) {
	case 0:
		return host.signal(syscall.SIGKILL)
	case 1:
		return host.signal(syscall.SIGTERM)
	case 2:
		return host.signal(syscall.SIGHUP)
	case 3:
		s.scheduleUndo(func() error { return s.resumeProcess(host) })
		return host.signal(syscall.SIGSTOP)
	case 4:
		s.store.DropHistory()
	case 5:
		s.store.Silence()
	case 6:
		s.store.SetFaults([]standin.StoreFaults{{Down: true}, {LoseAnswers: true}}[s.random.IntN(2)])
		s.scheduleUndo(func() error { s.store.SetFaults(standin.StoreFaults{}); return nil })
	case 7:
		s.degradeLink(s.storeLinks[s.random.IntN(len(s.storeLinks))])
	case 8, 9:
		s.degradeLink(s.serverLinks[server])
	case 10:
		return s.crashServer(s.servers[server])
	default:
		s.injectServerFault(s.servers[server])
		return s.publishConfiguration()
	}
	return nil
}

// resumeProcess continues a paused process, unless it has exited.
func (s *soak) resumeProcess(host *relayProcess) error {
	if !host.running() {
		return nil
	}
	return host.signal(syscall.SIGCONT)
}

// degradeLink sets a random mode on a link for some time.
func (s *soak) degradeLink(link *link) {
	link.setMode(randomMode(s.random))
	s.scheduleUndo(func() error { link.setMode(linkOpen); return nil })
}

// crashServer ends a server. Later it restarts at the same address with a new id.
func (s *soak) crashServer(server *standin.Server) error {
	server.Crash()
	former := server.ID()
	s.scheduleUndo(func() error {
		if server.ID() != former {
			return nil
		}
		if err := server.Restart(); err != nil {
			return err
		}
		s.store.Remove(platform.TableServers, former)
		return server.Register(s.store, "ready")
	})
	return nil
}

// injectServerFault sets one random fault on a server for some time.
func (s *soak) injectServerFault(server *standin.Server) {
	faults := []standin.ServerFaults{
		{Refuse: true}, {LoseAnswer: true}, {Fail: true}, {Extra: true},
		{CutAfter: 1 + s.random.IntN(streamEvents)}, {HangAfter: 1 + s.random.IntN(streamEvents)},
	}
	server.SetFaults(faults[s.random.IntN(len(faults))])
	s.scheduleUndo(func() error { server.SetFaults(standin.ServerFaults{}); return nil })
}
