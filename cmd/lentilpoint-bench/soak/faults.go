package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/platform"
)

// mix is the set of the kinds of fault of one soak. The fewer kinds, the fewer excuses
// apply, and the more requests the checks cover.
type mix int

const (
	// mixAll has all kinds.
	mixAll mix = iota
	// mixPlanned has planned work and silences of sound servers only.
	mixPlanned
	// mixStore adds disturbances of the store to those.
	mixStore
	// mixHosts adds kills and pauses of the first half of the hosts to those.
	mixHosts
	mixCount
)

// mixOf returns the mix of a seed.
func mixOf(seed uint64) mix { return mix(seed % uint64(mixCount)) }

// hasOddNames reports whether the configurations of a seed name a service whose name has
// special characters: one seed of four of each mix.
func hasOddNames(seed uint64) bool { return seed/uint64(mixCount)%4 == 3 }

// hasManySilences reports whether servers fall silent more often than by the mix alone:
// sixteen seeds of each 32.
func hasManySilences(seed uint64) bool { return seed/16%2 == 1 }

// hasManySignals reports whether hosts get more signals than by the mix alone: 32 seeds
// of each 64.
func hasManySignals(seed uint64) bool { return seed/32%2 == 1 }

// String names the mix in the findings.
func (m mix) String() string {
	return [...]string{"all", "planned work", "planned work and store", "planned work and hosts"}[m]
}

const (
	// minPause and maxPause bound the silence of a sound server.
	minPause = 300 * time.Millisecond
	maxPause = 1500 * time.Millisecond
	// pauseInterval is the time between two silences of one server.
	pauseInterval = 500 * time.Millisecond
	// serverDrainTime is the shortest time for which a leaving server serves on. It is
	// drain_ms of the installations and a little more.
	serverDrainTime = 2500 * time.Millisecond
)

// action injects a fault or does planned work.
type action func(*soak) error

var plannedActions = []action{
	(*soak).stopHost, (*soak).reloadHost, (*soak).reloadHost, (*soak).changeSettings, (*soak).changeSettings,
	(*soak).changeConfiguration, (*soak).changeConfiguration, (*soak).changeConfiguration, (*soak).changeStorm, (*soak).addOddRegistration, (*soak).drainServer,
	(*soak).pauseOne, (*soak).pauseOne, (*soak).pauseSeveral, (*soak).pauseService, (*soak).pauseStreams, (*soak).pauseReports,
}

var storeActions = []action{
	(*soak).dropHistory, (*soak).silenceStore, (*soak).disturbStore, (*soak).degradeStoreLink, (*soak).degradeStoreLink,
}

var hostActions = []action{(*soak).killHost, (*soak).pauseHost}

var serverActions = []action{
	(*soak).degradeServerLink, (*soak).degradeServerLink, (*soak).crashServer, (*soak).injectServerFault, (*soak).injectServerFault,
}

// silenceActions are added to the planned work of seeds with many silences.
var silenceActions = []action{(*soak).pauseOne, (*soak).pauseSeveral, (*soak).pauseService, (*soak).pauseService, (*soak).pauseInTurn, (*soak).pauseStreams, (*soak).pauseReports}

// signalActions are added to the planned work of seeds with many signals.
var signalActions = []action{(*soak).stopHost, (*soak).stopHost, (*soak).stopHost, (*soak).reloadHost, (*soak).changeSettings, (*soak).changeStorm}

// actionsByMix lists for each mix the groups of actions from which a step is drawn.
var actionsByMix = [...][][]action{
	mixAll:     {plannedActions, storeActions, hostActions, serverActions, serverActions},
	mixPlanned: {plannedActions},
	mixStore:   {plannedActions, plannedActions, storeActions},
	mixHosts:   {plannedActions, plannedActions, hostActions},
}

// faultStep undoes the faults that are due, attends to hosts that have exited and takes
// one action.
func (s *soak) faultStep(ctx context.Context) error {
	if err := s.undoDue(time.Now()); err != nil {
		return err
	}
	if err := s.attendHosts(ctx); err != nil {
		return err
	}
	s.faultCount++
	groups := actionsByMix[s.mix]
	if hasManySilences(s.options.Seed) {
		groups = append([][]action{silenceActions, silenceActions}, groups...)
	}
	if hasManySignals(s.options.Seed) {
		groups = append([][]action{signalActions, signalActions}, groups...)
	}
	group := groups[s.random.IntN(len(groups))]
	return group[s.random.IntN(len(group))](s)
}

// undoDue ends the faults that are due at the time.
func (s *soak) undoDue(now time.Time) error {
	scheduled := s.scheduledUndos
	s.scheduledUndos = nil
	for _, next := range scheduled {
		if next.at.After(now) {
			s.scheduledUndos = append(s.scheduledUndos, next)
			continue
		}
		if err := next.undo(); err != nil {
			return err
		}
	}
	return nil
}

// attendHosts kills hosts whose grace is over and restarts those that have exited, as
// the platform does.
func (s *soak) attendHosts(ctx context.Context) error {
	for number, host := range s.hosts {
		if host.running() {
			if !host.killed && !host.stoppedAt.IsZero() && time.Since(host.stoppedAt) > graceSeconds*time.Second {
				s.record("kills at the end of the grace", host.name)
				if err := host.signal(syscall.SIGKILL); err != nil {
					return err
				}
			}
			continue
		}
		if !host.killed && host.stoppedAt.IsZero() {
			s.violations = append(s.violations, fmt.Sprintf("%s ended by itself at about %s", host.name, time.Now().UTC().Format("15:04:05.000")))
		}
		// The start after a SIGTERM belongs to the planned work.
		if host.killed || host.stoppedAt.IsZero() {
			s.past.disturbHost(number)
		}
		if err := host.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// record counts an action and writes a line to the log, so that the log shows what was
// done to whom.
func (s *soak) record(action, target string) {
	s.exercised[action]++
	_, _ = fmt.Fprintf(s.options.Log, `{"time":%q,"msg":"soak action","action":%q,"target":%q}`+"\n", time.Now().UTC().Format(time.RFC3339Nano), action, target)
}

// scheduleUndo schedules the end of a fault after a random time of at most
// maxFaultDuration.
func (s *soak) scheduleUndo(undo func() error) {
	s.scheduledUndos = append(s.scheduledUndos, scheduledUndo{at: time.Now().Add(time.Duration(s.random.Int64N(int64(maxFaultDuration)))), undo: undo})
}

// drawSignalled draws a host that can handle a signal, or returns nil.
func (s *soak) drawSignalled() (*relayProcess, int) {
	number := s.random.IntN(len(s.hosts))
	host := s.hosts[number]
	if !host.running() || !host.startup.isOver(time.Now()) {
		return nil, 0
	}
	return host, number
}

// stopHost sends SIGTERM to a host, at times to one that is already stopping.
func (s *soak) stopHost() error {
	host, number := s.drawSignalled()
	if host == nil || !host.stoppedAt.IsZero() && s.random.IntN(3) > 0 {
		return nil
	}
	s.record("stops", host.name)
	if host.stoppedAt.IsZero() {
		s.past.stops[number] = append(s.past.stops[number], time.Now())
	}
	return host.signal(syscall.SIGTERM)
}

// reloadHost sends SIGHUP to a host.
func (s *soak) reloadHost() error {
	host, _ := s.drawSignalled()
	if host == nil {
		return nil
	}
	if !host.stoppedAt.IsZero() {
		s.exercised["reloads of stopping hosts"]++
	}
	s.record("reloads", host.name)
	return host.signal(syscall.SIGHUP)
}

// changeSettings changes the settings file of a host, also the address of the store, with
// or without a signal.
func (s *soak) changeSettings() error {
	host, number := s.drawSignalled()
	if host == nil {
		return nil
	}
	s.record("settings", host.name)
	host.settings.storeAddress = s.storeLinks[2*number+s.random.IntN(2)].address
	host.settings.budgetExtra = 100 + s.random.IntN(100)
	if err := host.writeSettings(); err != nil || s.random.IntN(3) == 0 {
		return err
	}
	return host.signal(syscall.SIGHUP)
}

func (s *soak) changeConfiguration() error {
	s.configuration.change()
	return s.publishConfiguration()
}

// changeStorm publishes many versions at once.
func (s *soak) changeStorm() error {
	s.record("storms", "")
	for range 5 + s.random.IntN(15) {
		if err := s.changeConfiguration(); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.random.Int64N(int64(15 * time.Millisecond))))
	}
	return nil
}

// addOddRegistration writes a row of another writer among the registrations and later
// removes it.
func (s *soak) addOddRegistration() error {
	key := fmt.Sprintf("other-%d", s.random.IntN(1000))
	s.record("odd registrations", key)
	s.store.PutRaw(platform.TableServers, key, oddRegistration(s.random))
	s.scheduleUndo(func() error { s.store.Remove(platform.TableServers, key); return nil })
	return nil
}

// drainServer makes a server leave as planned: it reports that it is draining, serves on
// for more than serverDrainTime, ends, and starts with a new id.
func (s *soak) drainServer() error {
	number := s.random.IntN(len(s.servers))
	server := s.servers[number]
	former, reported := server.ID(), time.Now()
	s.record("draining servers", former)
	if err := server.Register(s.store, "draining"); err != nil {
		return err
	}
	leave := func() error {
		if server.ID() != former || !server.Running() {
			return nil
		}
		if s.soundAnswers(number, server.Events).UntilClose && server.OpenRequests() > 0 {
			// An answer that ends with its connection would look complete if its server left
			// during it, so this one stays.
			return server.Register(s.store, "ready")
		}
		// It leaves early only when the soak ends.
		if server.OpenRequests() > 0 || time.Since(reported) < serverDrainTime {
			s.past.beginService(server.Service)()
		}
		server.Crash()
		if err := server.Restart(); err != nil {
			return err
		}
		s.store.Remove(platform.TableServers, former)
		return server.Register(s.store, "ready")
	}
	s.scheduledUndos = append(s.scheduledUndos, scheduledUndo{at: time.Now().Add(serverDrainTime + time.Duration(s.random.Int64N(int64(maxFaultDuration)))), undo: leave})
	return nil
}

// pauseServer makes a sound server silent for some time, after which it goes on.
func (s *soak) pauseServer(server *standin.Server, duration time.Duration) {
	now := time.Now()
	if now.Sub(s.pausedUntil[server]) < pauseInterval {
		return
	}
	s.record("silences", fmt.Sprintf("%s for %d ms", server.ID(), duration.Milliseconds()))
	s.pausedUntil[server] = now.Add(duration)
	server.Pause(duration)
}

func (s *soak) drawPause() time.Duration {
	return minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause)))
}

func (s *soak) pauseOne() error {
	s.pauseServer(s.servers[s.random.IntN(len(s.servers))], s.drawPause())
	return nil
}

// pauseSeveral makes several servers silent, each for a time of its own.
func (s *soak) pauseSeveral() error {
	for _, number := range s.random.Perm(len(s.servers))[:2+s.random.IntN(len(s.servers)/2)] {
		s.pauseServer(s.servers[number], s.drawPause())
	}
	return nil
}

// pauseService makes all servers of a service silent for the same time.
func (s *soak) pauseService() error {
	service, duration := s.servers[s.random.IntN(len(s.servers))].Service, s.drawPause()
	for _, server := range s.servers {
		if server.Service == service {
			s.pauseServer(server, duration)
		}
	}
	return nil
}

// pauseInTurn makes the servers of a service silent one after another, with overlaps, so
// that requests that are moved reach servers that fall silent next.
func (s *soak) pauseInTurn() error {
	service := s.servers[s.random.IntN(len(s.servers))].Service
	var wait time.Duration
	for _, server := range s.servers {
		if server.Service != service {
			continue
		}
		duration := s.drawPause()
		at := time.Now().Add(wait)
		s.scheduledUndos = append(s.scheduledUndos, scheduledUndo{at: at, undo: func() error { s.pauseServer(server, duration); return nil }})
		wait += duration / 2
	}
	return nil
}

// pauseStreams makes the streams of one server silent while it answers all else.
func (s *soak) pauseStreams() error {
	server, duration := s.servers[s.random.IntN(len(s.servers))], s.drawPause()
	s.record("silences of streams", fmt.Sprintf("%s for %d ms", server.ID(), duration.Milliseconds()))
	server.SetEventTime(duration)
	s.scheduledUndos = append(s.scheduledUndos, scheduledUndo{at: time.Now().Add(duration / 2), undo: func() error { server.SetEventTime(s.eventTime()); return nil }})
	return nil
}

// pauseReports delays the reports of one server while it serves all else. It keeps to
// mixes without faults of servers, which it would end.
func (s *soak) pauseReports() error {
	if s.mix == mixAll {
		return nil
	}
	number := s.random.IntN(len(s.servers))
	server, faults := s.servers[number], s.soundAnswers(number, s.servers[number].Events)
	s.record("silences of reports", server.ID())
	faults.ReportDelay = s.drawPause()
	server.SetFaults(faults)
	s.scheduleUndo(func() error { server.SetFaults(s.soundAnswers(number, server.Events)); return nil })
	return nil
}

// drawUnplanned draws a host for a disturbance that is not planned work.
func (s *soak) drawUnplanned() (*relayProcess, int) {
	count := len(s.hosts)
	if s.mix == mixHosts {
		count = max(count/2, 1)
	}
	number := s.random.IntN(count)
	return s.hosts[number], number
}

func (s *soak) killHost() error {
	host, number := s.drawUnplanned()
	s.record("kills", host.name)
	s.past.disturbHost(number)
	return host.signal(syscall.SIGKILL)
}

// pauseHost stops the process of a host for some time.
func (s *soak) pauseHost() error {
	host, number := s.drawUnplanned()
	s.record("pauses of hosts", host.name)
	end := s.past.beginHost(number)
	s.scheduleUndo(func() error { end(); return s.resumeProcess(host) })
	return host.signal(syscall.SIGSTOP)
}

// resumeProcess continues a paused process, unless it has exited.
func (s *soak) resumeProcess(host *relayProcess) error {
	if !host.running() {
		return nil
	}
	return host.signal(syscall.SIGCONT)
}

func (s *soak) dropHistory() error {
	s.record("dropped histories", "")
	s.store.DropHistory()
	return nil
}

func (s *soak) silenceStore() error {
	s.record("store connections silenced", "")
	s.store.Silence()
	return nil
}

func (s *soak) disturbStore() error {
	s.record("store faults", "")
	s.store.SetFaults([]standin.StoreFaults{{Down: true}, {LoseAnswers: true}}[s.random.IntN(2)])
	s.scheduleUndo(func() error { s.store.SetFaults(standin.StoreFaults{}); return nil })
	return nil
}

func (s *soak) degradeStoreLink() error {
	number := s.random.IntN(len(s.storeLinks))
	s.record("store links", s.hosts[number/2].name)
	s.degradeLink(s.storeLinks[number], func() {})
	return nil
}

func (s *soak) degradeServerLink() error {
	number := s.random.IntN(len(s.servers))
	s.record("server links", s.servers[number].ID())
	s.degradeLink(s.serverLinks[number], s.past.beginService(s.servers[number].Service))
	return nil
}

// degradeLink sets a random mode on a link for some time, and calls end at its end.
func (s *soak) degradeLink(link *link, end func()) {
	link.setMode(randomMode(s.random))
	s.scheduleUndo(func() error { link.setMode(linkOpen); end(); return nil })
}

// crashServer ends a server. Later it restarts at the same address with a new id.
func (s *soak) crashServer() error {
	server := s.servers[s.random.IntN(len(s.servers))]
	s.record("server crashes", server.ID())
	end := s.past.beginService(server.Service)
	server.Crash()
	former := server.ID()
	s.scheduleUndo(func() error {
		end()
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
func (s *soak) injectServerFault() error {
	number := s.random.IntN(len(s.servers))
	server := s.servers[number]
	s.record("server faults", server.ID())
	server.SetFaults(randomServerFault(s.random))
	end := s.past.beginService(server.Service)
	s.scheduleUndo(func() error { server.SetFaults(s.soundAnswers(number, server.Events)); end(); return nil })
	return nil
}

func randomServerFault(random *rand.Rand) standin.ServerFaults {
	faults := []standin.ServerFaults{
		{Refuse: true}, {LoseAnswer: true}, {Fail: true}, {Extra: true},
		{CutAfter: 1 + random.IntN(streamEvents)}, {HangAfter: 1 + random.IntN(streamEvents)},
	}
	return faults[random.IntN(len(faults))]
}
