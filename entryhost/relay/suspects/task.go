package suspects

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// confirmDelay is the time between a broken attempt and the connection that
	// checks whether the server died; a process that died refuses connections by
	// then and is back after about a second.
	confirmDelay = 30 * time.Millisecond
	// sendTimeout bounds sending a message to one host, at most 3 ms away.
	sendTimeout = 200 * time.Millisecond
	// expireInterval is how often old records are removed.
	expireInterval = 10 * time.Second
)

// RefusesConnections reports whether a server's address refuses connections, which
// proves that the process is gone. A timeout proves nothing, since a link may be
// cut.
type RefusesConnections func(ctx context.Context, address string) bool

// Parameters are the dependencies and settings of the task.
type Parameters struct {
	// Self is the address of this host among the entry hosts.
	Self string
	// Seeds are addresses of entry hosts that are asked while no other is known.
	Seeds []string
	Peers Peers
	// Store keeps stops for hosts that start when no other knows them.
	Store              StopStore
	RefusesConnections RefusesConnections
	Clock              clockwork.Clock
	Metrics            *metrics.Set
	Logger             *slog.Logger
}

// Task owns this host's records of requests that crash servers.
type Task struct {
	Parameters

	mailbox      task.Mailbox[Message]
	hostLists    task.Mailbox[[]routing.Host]
	deaths       *metrics.Counter
	stops        *metrics.Counter
	promptStops  *metrics.Counter
	cancelled    *metrics.Counter
	sendFailures *metrics.Counter
	substituted  *metrics.Counter
	caughtUp     *metrics.Counter

	// The fields below are accessed only by the task's goroutine.
	createdAt time.Time
	table     deathTable
	hosts     []routing.Host
	// promptDeaths, answered and stopped hold the evidence for and against parts of
	// prompts, and those that are stopped.
	promptDeaths deathLog
	answered     *answeredParts
	stopped      stopList
	// absences are the hosts that do not take reports, and catchUps the rounds in which this
	// host asked the others for the deaths that they know.
	absences absences
	catchUps catchUps
	// trialsDue holds the keys of the signatures of which this host is to make the next
	// trial in the place of hosts that are gone.
	trialsDue map[string]bool
	// asking holds the keys of the signatures about which other hosts are being asked.
	asking map[string]bool
	// watches holds the requests that no server has begun to answer.
	watches map[*Watch]struct{}
	// learned is set once the stops of other hosts are known, learning while they are
	// being asked for the learnRounds-th time.
	learned, learning bool
	learnRounds       int
	// aloneRounds are the rounds in which no other host was known.
	aloneRounds int
}

// NewTask returns a task with an empty table and no known hosts.
func NewTask(parameters Parameters) *Task {
	return &Task{
		Parameters: parameters, mailbox: task.NewMailbox[Message](mailboxSize), hostLists: task.NewMailbox[[]routing.Host](hostsSize),
		deaths:       parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_deaths_total"),
		stops:        parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_stops_total"),
		promptStops:  parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_prompt_stops_total"),
		cancelled:    parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_runs_ended_total"),
		sendFailures: parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_untold_total"),
		substituted:  parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_substitutes_total"),
		caughtUp:     parameters.Metrics.GetOrCreateCounter("lentilpoint_relay_suspect_catch_ups_total"),
		createdAt:    parameters.Clock.Now(), absences: absences{}, trialsDue: map[string]bool{}, catchUps: catchUps{askedAt: map[string]time.Duration{}}, table: deathTable{}, promptDeaths: deathLog{}, answered: newAnsweredParts(),
		asking: map[string]bool{}, watches: map[*Watch]struct{}{},
	}
}

// Mailbox receives queries and reports.
func (t *Task) Mailbox() task.Mailbox[Message] { return t.mailbox }

// Hosts receives lists of the other entry hosts.
func (t *Task) Hosts() task.Mailbox[[]routing.Host] { return t.hostLists }

// String returns the task's name in logs.
func (t *Task) String() string { return "suspects" }

// Serve handles messages until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	expire := t.Clock.NewTicker(expireInterval)
	defer expire.Stop()
	learn := t.Clock.NewTicker(learnInterval)
	defer learn.Stop()
	retry := t.Clock.NewTicker(initialReportRetry)
	defer retry.Stop()
	t.learn(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-retry.Chan():
			t.sendPending(ctx)
		case <-expire.Chan():
			t.expire()
		case <-learn.Chan():
			if t.learn(ctx); t.learnRounds >= learnRounds {
				learn.Stop()
			}
		case hosts := <-t.hostLists.C():
			known := len(t.hosts) > 0
			if t.setHosts(hosts); !known {
				t.learn(ctx)
			}
		case message := <-t.mailbox.C():
			t.handle(ctx, message)
		}
	}
}

func (t *Task) expire() {
	t.table.expire(t.now())
	t.promptDeaths.expire(t.now())
	t.stopped = t.stopped.expire(t.now())
	maps.DeleteFunc(t.trialsDue, func(key string, _ bool) bool { return !t.stopped.holds(key) })
	t.catchUps.expire(t.now())
	t.expireWatches()
}

func (t *Task) now() time.Duration { return t.Clock.Since(t.createdAt) }

func (t *Task) handle(ctx context.Context, message Message) {
	switch message := message.(type) {
	case CheckStopped:
		t.handleCheck(ctx, message)
	case AnswerBegun:
		t.handleAnswerBegun(ctx, message)
	case PromptDeath:
		t.handlePromptDeath(ctx, message)
	case PromptStop:
		t.handlePromptStop(ctx, message)
	case PromptAnswered:
		t.handlePromptAnswered(message)
	case AskAnswered:
		message.Reply.Send(t.ages(message.Parts))
	case AskStops:
		message.Reply.Send(t.knownStops())
	case AskDeaths:
		message.Reply.Send(t.promptDeaths.known(message.Service, t.now()))
	case reportSent:
		t.handleReportSent(ctx, message)
	case pendingSent:
		t.handlePendingSent(message)
	case trialDue:
		t.handleTrialDue(message.signature)
	case deathsCollected:
		t.handleDeathsCollected(ctx, message)
	case answersCollected:
		t.handleAnswersCollected(ctx, message)
	case stopsCollected:
		t.handleStopsCollected(ctx, message)
	case AttemptBroken:
		go t.confirmDeath(ctx, message)
	case RequestCompleted:
		t.handleRequestCompleted(ctx, message)
	case Death:
		t.handleDeath(ctx, message)
	case Stop:
		t.table.stop(message.Fingerprint, t.now()+stopDuration)
	case Clear:
		t.table.clear(message.Fingerprint, t.now())
	}
}

// confirmDeath reports a death if the server that broke off refuses connections
// after confirmDelay.
func (t *Task) confirmDeath(ctx context.Context, attempt AttemptBroken) {
	brokeAt := t.Clock.Now()
	select {
	case <-ctx.Done():
		return
	case <-t.Clock.After(confirmDelay):
	}
	if !t.RefusesConnections(ctx, attempt.Address) {
		return
	}
	if attempt.Prompt.Content == "" {
		_ = t.mailbox.Send(ctx, Death{Fingerprint: attempt.Fingerprint, Request: attempt.Request, Server: attempt.Server})
		return
	}
	_ = t.mailbox.Send(ctx, PromptDeath{
		Service: attempt.Service, Server: attempt.Server, Request: attempt.Request, Content: attempt.Prompt.Content, Parts: attempt.Prompt.suspects(),
		Ago: t.Clock.Since(brokeAt), Ran: attempt.Ran,
	})
}

// handleDeath counts a death. It reports a death that this host saw to the
// trackers, and a stop to all other hosts.
func (t *Task) handleDeath(ctx context.Context, death Death) {
	t.deaths.Inc()
	stopped := t.table.addDeath(death.Fingerprint, death.Server, t.now())
	t.Logger.Info("server died under a request", eventcode.SuspectDeath.Attr(), "request", death.Request, "server", death.Server, "fingerprint", death.Fingerprint.String(),
		"deaths", len(t.table[death.Fingerprint].deaths), "stopped", stopped)
	if !death.Told {
		death.Told = true
		t.sendToTrackers(ctx, death.Fingerprint.String(), func(ctx context.Context, host string) error { return t.Peers.SendDeath(ctx, host, death) })
	}
	if !stopped {
		return
	}
	t.stops.Inc()
	t.deliver(ctx, func(ctx context.Context, host string, _ time.Duration) error {
		return t.Peers.SendStop(ctx, host, Stop{Fingerprint: death.Fingerprint})
	})
}

// handleRequestCompleted records the answer, and clears a fingerprint for which this host
// has a death, here and on the trackers.
func (t *Task) handleRequestCompleted(ctx context.Context, message RequestCompleted) {
	t.recordAnswer(ctx, message.Prompt)
	fingerprint := message.Fingerprint
	if !t.table.clear(fingerprint, t.now()) {
		return
	}
	t.sendToTrackers(ctx, fingerprint.String(), func(ctx context.Context, host string) error {
		return t.Peers.SendClear(ctx, host, Clear{Fingerprint: fingerprint})
	})
}

// sendToTrackers sends a message to the trackers of a fingerprint. If one cannot be
// reached, the other one and the host's own count remain.
func (t *Task) sendToTrackers(ctx context.Context, key string, send func(ctx context.Context, host string) error) {
	for _, tracker := range trackers(key, t.Self, t.hosts) {
		if tracker != t.Self {
			t.sendTo(ctx, tracker, send)
		}
	}
}

// sendTo sends one message without blocking the task.
func (t *Task) sendTo(ctx context.Context, host string, send func(ctx context.Context, host string) error) {
	go func() {
		sendContext, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		t.noteSendFailure(host, send(sendContext, host))
	}()
}
