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
	// resultsCapacity is the number of results that may wait for the soak's task.
	resultsCapacity = 4096
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
	// Mix names the kinds of fault.
	Mix string `json:"mix"`
	// Exercised counts what the soak did, by name, and Endings the requests by how they
	// ended.
	Exercised map[string]int `json:"exercised"`
	Endings   map[string]int `json:"endings"`
	// Excused counts the requests without a complete answer that broke no guarantee, by
	// excuse.
	Excused map[string]int `json:"excused"`
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
	serverLinks []*link
	// storeLinks has two links for each host; its settings file names one of them.
	storeLinks    []*link
	hosts         []*relayProcess
	directory     string
	faultCount    int
	mix           mix
	configuration *configuration
	past          *history
	exercised     map[string]int
	// violations are those that the task itself has seen.
	violations []string
	// pausedUntil is when the last pause of each server ends.
	pausedUntil map[*standin.Server]time.Time
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
	s := newSoak(options, directory)
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

// newSoak returns a soak whose components are not started and whose files are in the
// directory.
func newSoak(options Options, directory string) *soak {
	return &soak{
		options: options, random: rand.New(rand.NewPCG(options.Seed, 7)), directory: directory, mix: mixOf(options.Seed), past: newHistory(),
		exercised: map[string]int{}, pausedUntil: map[*standin.Server]time.Time{},
		configuration: newConfiguration(rand.New(rand.NewPCG(options.Seed, 8)), hasOddNames(options.Seed)),
	}
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
	number := 0
	for zone := range zones {
		for _, service := range []string{serviceEngine, serviceEngine, serviceOtherEngine, serviceShop, serviceOtherShop, serviceOdd} {
			if err := s.addServer(ctx, number, zone, service); err != nil {
				return err
			}
			number++
		}
	}
	seedAddress := ""
	for number := range s.options.Hosts {
		for range 2 {
			link, err := newLink(ctx, s.store.Address())
			if err != nil {
				return err
			}
			s.storeLinks = append(s.storeLinks, link)
		}
		host, peerAddress, err := newRelayProcess(s.directory, s.options.Daemon, fmt.Sprintf("edge-%d", number), fmt.Sprintf("zone-%d", number%zones), s.storeLinks[2*number].address, seedAddress, s.options.Log)
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
func (s *soak) addServer(ctx context.Context, number, zone int, service string) error {
	events := 0
	if service == serviceEngine || service == serviceOtherEngine {
		events = streamEvents
	}
	server, err := standin.StartServer(ctx, standin.ServerOptions{
		Name: fmt.Sprintf("server-%d", number), Service: service, Zone: fmt.Sprintf("zone-%d", zone), Version: "v1",
		Events: events, EventTime: s.eventTime(), PromptTime: 100 * time.Millisecond,
	}, s.store)
	if err != nil {
		return err
	}
	link, err := newLink(ctx, server.Address())
	if err != nil {
		return err
	}
	server.SetProxyAddress(link.address)
	server.SetFaults(s.soundAnswers(number, events))
	s.servers, s.serverLinks = append(s.servers, server), append(s.serverLinks, link)
	return server.Register(s.store, "ready")
}

// eventTime is the pause before each event of a stream. Longer streams are more often in
// progress when their server falls silent.
func (s *soak) eventTime() time.Duration {
	if hasManySilences(s.options.Seed) {
		return 40 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// soundAnswers returns the form of a sound server's answers. Each third server sends
// answers that end with their connection, but no engine does beside faults of servers: a
// stream of that form that a fault cuts off after an event would look complete.
func (s *soak) soundAnswers(number int, events int) standin.ServerFaults {
	return standin.ServerFaults{UntilClose: number%3 == 1 && (s.mix != mixAll || events == 0)}
}

// publishConfiguration writes the next version of the configuration.
func (s *soak) publishConfiguration() error {
	s.exercised["configurations"]++
	return s.store.Put(platform.TableOrders, platform.KeyConfig, s.configuration.document())
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
			if err := s.attendHosts(ctx); err != nil {
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
	// A storm of changes keeps the task busy for some 100 ms, which must not hold up callers.
	results := make(chan outcome, resultsCapacity)
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
	// Requests in progress must not outlast a silence because nobody ends it.
	if err := s.undoDue(time.Now().Add(time.Hour)); err != nil {
		return Findings{}, err
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
	return s.check(ctx, outcomes)
}

// check waits until every host is ready again and checks the outcomes.
func (s *soak) check(ctx context.Context, outcomes []outcome) (Findings, error) {
	findings := Findings{Seed: s.options.Seed, Requests: len(outcomes), Faults: s.faultCount, Mix: s.mix.String(), Exercised: s.exercised, Endings: map[string]int{}}
	if err := s.waitReady(ctx, settleTime+graceSeconds*time.Second); err != nil {
		s.violations = append(s.violations, err.Error())
	}
	findings.Violations = s.violations
	var runs []standin.Run
	for _, server := range s.servers {
		runs = append(runs, server.Runs()...)
	}
	violations, excused := findViolations(outcomes, runs, s.past)
	findings.Violations, findings.Excused = append(findings.Violations, violations...), map[string]int{}
	for excuse, requests := range excused {
		findings.Excused[excuse] = len(requests)
		for _, request := range requests {
			_, _ = fmt.Fprintf(s.options.Log, `{"msg":"soak excuse","excuse":%q,"of":%q}`+"\n", excuse, request)
		}
	}
	for _, o := range outcomes {
		findings.Endings[o.endingName()]++
		if o.ending == endedWhole && o.status == http.StatusOK {
			findings.Served++
		}
		for name, counted := range map[string]bool{
			"kept": o.kept, "pipelined": o.pipelined, "slow bodies": o.slow, "resumed": o.resumedAfter > 0, "resumed after the last event": o.resumedAfter == streamEvents,
		} {
			if counted {
				s.exercised[name]++
			}
		}
	}
	if findings.Served == 0 {
		findings.Violations = append(findings.Violations, "no request was served")
	}
	return findings, nil
}
