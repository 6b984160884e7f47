// Package soak runs the daemon as separate processes and injects faults from
// outside: signals, and loopback proxies on the links to the store and to
// servers. It checks the promises from what callers and servers see.
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
	streamEvents = 30
	zones        = 2
	// faultPause is the mean time between two faults.
	faultPause = 250 * time.Millisecond
	// faultLongest is the longest time that a fault lasts.
	faultLongest = 2 * time.Second
	// readyTimeout bounds the start of the hosts.
	readyTimeout = 10 * time.Second
	// settleTime is how long hosts have to serve again after the last fault, or
	// after the end of a stop that had begun: the recovery time of the
	// installations.
	settleTime = 12 * time.Second
)

// Options are the size and length of a soak.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Callers  int
	// Daemon is the path of the daemon's program.
	Daemon string
	// Log receives what the processes write.
	Log io.Writer
}

// Findings is what a soak found.
type Findings struct {
	Seed     uint64   `json:"seed"`
	Requests int      `json:"requests"`
	Served   int      `json:"served"`
	Faults   int      `json:"faults"`
	Broken   []string `json:"broken"`
}

// soak is the state of the task that injects faults.
type soak struct {
	options Options
	random  *rand.Rand
	store   *standin.Store
	servers []*standin.Server
	// links lead to servers, storeLinks from each host to the store.
	links      []*link
	storeLinks []*link
	hosts      []*host
	folder     string
	faults     int
	version    int
	// heals undo faults when their time has come.
	heals []heal
}

type heal struct {
	at   time.Time
	undo func() error
}

// Run plays one soak.
func Run(ctx context.Context, options Options) (Findings, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	folder, err := os.MkdirTemp("", "lentilpoint-soak-")
	if err != nil {
		return Findings{}, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	s := &soak{options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), folder: folder}
	defer func() {
		for _, host := range s.hosts {
			host.stop()
		}
	}()
	if err := s.build(ctx); err != nil {
		return Findings{}, err
	}
	return s.play(ctx)
}

// build starts the store, servers, links and hosts, and waits until all are ready.
func (s *soak) build(ctx context.Context) error {
	var err error
	if s.store, err = standin.StartStore(ctx); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
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
	seed := ""
	for number := range s.options.Hosts {
		link, err := newLink(ctx, s.store.Address())
		if err != nil {
			return err
		}
		s.storeLinks = append(s.storeLinks, link)
		host, peer, err := newHost(s.folder, s.options.Daemon, fmt.Sprintf("edge-%d", number), fmt.Sprintf("zone-%d", number%zones), link.address, seed, s.options.Log)
		if err != nil {
			return err
		}
		if seed == "" {
			seed = peer
		}
		s.hosts = append(s.hosts, host)
		if err := host.start(ctx); err != nil {
			return err
		}
	}
	return s.waitReady(ctx, readyTimeout)
}

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
	s.servers, s.links = append(s.servers, server), append(s.links, link)
	return server.Register(s.store, "ready")
}

// configure writes the next version of the configuration.
func (s *soak) configure() error {
	s.version++
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "site.example", "prefix": prefix, "route_type": kind, "timeout_ms": 6000, "target_latency_ms": 1000,
			"gap_aim_ms": 700, "service": service, "max_attempts": attempts, "stream_resume": kind == "streaming"}
	}
	return s.store.Put(platform.TableOrders, platform.KeyConfig, map[string]any{
		"version":  s.version,
		"routes":   []any{route("advice", "/advice/", "streaming", "engine", 5), route("order", "/order/", "non_idempotent", "shop", 1), route("stock", "/stock/", "idempotent", "shop", 2)},
		"services": []any{map[string]any{"name": "engine", "max_connections": 600, "engine": map[string]any{"backups": true, "moves": true, "handle_s": 4}}, map[string]any{"name": "shop", "max_connections": 600}},
		"limits":   map[string]any{"max_body_bytes": 100000},
		"tenants":  []any{map[string]any{"name": "members", "api_keys": []string{"key"}}},
	})
}

// waitReady waits until all hosts say that they are ready.
func (s *soak) waitReady(ctx context.Context, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	deadline := time.Now().Add(limit)
	for _, host := range s.hosts {
		for {
			response, err := client.Get("http://" + host.ready + platform.PathReady)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			// A host that was being stopped ends now; the platform starts it again.
			if err := s.restart(ctx); err != nil {
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

// play runs callers and faults, then heals everything and checks the promises.
func (s *soak) play(ctx context.Context) (Findings, error) {
	callerContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	results := make(chan outcome, s.options.Callers)
	left := make(chan struct{}, s.options.Callers)
	var fronts []string
	for _, host := range s.hosts {
		fronts = append(fronts, host.front)
	}
	for number := range s.options.Callers {
		c := &caller{number: number, random: rand.New(rand.NewPCG(s.options.Seed, uint64(100+number))), fronts: fronts}
		go func() { c.run(callerContext, results); left <- struct{}{} }()
	}
	var outcomes []outcome
	end, fault := time.After(s.options.Duration), time.After(faultPause)
	for playing := true; playing; {
		select {
		case <-ctx.Done():
			return Findings{}, Error.Wrap(ctx.Err())
		case got := <-results:
			outcomes = append(outcomes, got)
		case <-fault:
			if err := s.step(ctx); err != nil {
				return Findings{}, err
			}
			fault = time.After(time.Duration(s.random.Int64N(int64(2 * faultPause))))
		case <-end:
			playing = false
		}
	}
	stopCallers()
	for remaining := s.options.Callers; remaining > 0; {
		select {
		case got := <-results:
			outcomes = append(outcomes, got)
		case <-left:
			remaining--
		}
	}
	return s.finish(ctx, outcomes)
}

// finish heals all faults, expects every host to be ready again, and checks.
func (s *soak) finish(ctx context.Context, outcomes []outcome) (Findings, error) {
	for _, heal := range s.heals {
		if err := heal.undo(); err != nil {
			return Findings{}, err
		}
	}
	report := Findings{Seed: s.options.Seed, Requests: len(outcomes), Faults: s.faults}
	if err := s.waitReady(ctx, settleTime+graceSeconds*time.Second); err != nil {
		report.Broken = append(report.Broken, err.Error())
	}
	var runs []standin.Run
	for _, server := range s.servers {
		runs = append(runs, server.Runs()...)
	}
	report.Broken = append(report.Broken, check(outcomes, runs)...)
	for _, o := range outcomes {
		if o.err == nil && o.status == http.StatusOK {
			report.Served++
		}
	}
	if report.Served == 0 {
		report.Broken = append(report.Broken, "no request was served")
	}
	return report, nil
}

// step heals what is due, restarts what has ended and injects one fault.
func (s *soak) step(ctx context.Context) error {
	now := time.Now()
	kept := s.heals[:0]
	for _, heal := range s.heals {
		if heal.at.After(now) {
			kept = append(kept, heal)
			continue
		}
		if err := heal.undo(); err != nil {
			return err
		}
	}
	s.heals = kept
	if err := s.restart(ctx); err != nil {
		return err
	}
	s.faults++
	return s.inject()
}

func (s *soak) restart(ctx context.Context) error {
	for _, host := range s.hosts {
		if !host.running() {
			if err := host.start(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// later undoes a fault after a random time.
func (s *soak) later(undo func() error) {
	s.heals = append(s.heals, heal{at: time.Now().Add(time.Duration(s.random.Int64N(int64(faultLongest)))), undo: undo})
}

// inject draws one fault.
func (s *soak) inject() error {
	host, server := s.hosts[s.random.IntN(len(s.hosts))], s.random.IntN(len(s.servers))
	switch s.random.IntN(12) {
	case 0:
		return host.signal(syscall.SIGKILL)
	case 1:
		return host.signal(syscall.SIGTERM)
	case 2:
		return host.signal(syscall.SIGHUP)
	case 3:
		s.later(func() error { return s.resume(host) })
		return host.signal(syscall.SIGSTOP)
	case 4:
		s.store.DropHistory()
	case 5:
		s.store.Silence()
	case 6:
		s.store.SetFaults([]standin.StoreFaults{{Down: true}, {LoseAnswers: true}}[s.random.IntN(2)])
		s.later(func() error { s.store.SetFaults(standin.StoreFaults{}); return nil })
	case 7:
		s.disturb(s.storeLinks[s.random.IntN(len(s.storeLinks))])
	case 8, 9:
		s.disturb(s.links[server])
	case 10:
		return s.crash(s.servers[server])
	default:
		s.spoil(s.servers[server])
		return s.configure()
	}
	return nil
}

// resume lets a paused process go on, unless it has ended.
func (s *soak) resume(host *host) error {
	if !host.running() {
		return nil
	}
	return host.signal(syscall.SIGCONT)
}

func (s *soak) disturb(link *link) {
	link.set(randomMode(s.random))
	s.later(func() error { link.set(linkOpen); return nil })
}

// crash ends a server, which is back at its address under another id.
func (s *soak) crash(server *standin.Server) error {
	server.Crash()
	former := server.ID()
	s.later(func() error {
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

// spoil makes a server misbehave in one way.
func (s *soak) spoil(server *standin.Server) {
	faults := []standin.ServerFaults{
		{Refuse: true}, {LoseAnswer: true}, {Fail: true}, {Extra: true},
		{CutAfter: 1 + s.random.IntN(streamEvents)}, {HangAfter: 1 + s.random.IntN(streamEvents)},
	}
	server.SetFaults(faults[s.random.IntN(len(faults))])
	s.later(func() error { server.SetFaults(standin.ServerFaults{}); return nil })
}
