package peers

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// membershipMailboxSize bounds the messages queued for the membership task. A
	// full mailbox returns ErrMailboxFull to publishers and fails calls.
	membershipMailboxSize = 1024
	// hostsMailboxSize bounds the queued host lists. Only the newest list matters,
	// so a small mailbox suffices; a full one drops the list.
	hostsMailboxSize = 4
	// roundInterval is the time between gossip rounds. As each exchange pushes and
	// pulls, it keeps the ages of 22 hosts below aliveTimeout.
	roundInterval = 500 * time.Millisecond
)

// Names of the metrics of this package.
const (
	metricSent     = "lentilpoint_peer_bytes_sent_total"
	metricReceived = "lentilpoint_peer_bytes_received_total"
	metricDropped  = "lentilpoint_peer_facts_dropped_total"
)

// Membership is the task that owns the table of entry hosts and the shared facts.
type Membership struct {
	messages    task.Mailbox[Message]
	hosts       task.Mailbox[platform.HostsRead]
	refreshes   task.Mailbox[platform.RefreshHosts]
	subscribers []Subscriber
	linkConfig  linkConfig
	random      *rand.Rand
	clock       clockwork.Clock
	dropped     *metrics.Counter
	logger      *slog.Logger

	self      Member
	heartbeat Heartbeat
	table     *Table
	facts     *FactStore
	links     map[model.HostID]runningLink
	joined    bool
	// gossiped is set after the first round with a peer to gossip with.
	gossiped bool
}

// runningLink is a link task under supervision.
type runningLink struct {
	task  *linkTask
	token suture.ServiceToken
}

// digestReceived is a digest that a peer sent and that needs an answer.
type digestReceived struct {
	digest Digest
	reply  task.Reply[Digest]
}

// digestAnswered is the answer of a peer to a digest of this host.
type digestAnswered struct{ digest Digest }

// leaveRequested asks to mark this host as leaving in its heartbeats.
type leaveRequested struct{}

func (digestReceived) peersMessage() {}
func (digestAnswered) peersMessage() {}
func (leaveRequested) peersMessage() {}

// Messages returns the mailbox of the membership task.
func (m *Membership) Messages() task.Mailbox[Message] { return m.messages }

// Leave marks this host as leaving in the digests that it sends from now on. It
// does not block.
func (m *Membership) Leave() error { return m.messages.TrySend(leaveRequested{}) }

// String names the task in the logs.
func (m *Membership) String() string { return "peers" }

// Serve runs gossip rounds and handles messages until the context ends.
func (m *Membership) Serve(ctx context.Context) error {
	supervisor := task.NewSupervisor("links", task.DefaultRestartPolicy, m.logger)
	done := supervisor.ServeBackground(ctx)
	m.links = make(map[model.HostID]runningLink)
	ticker := m.clock.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-ticker.Chan():
			m.gossipRound(ctx, supervisor)
		case read := <-m.hosts.C():
			m.applyHostList(supervisor, read.Hosts)
			if !m.gossiped {
				// A host that has just started serves callers at once, so it must
				// not wait for the next round to learn what the others know.
				m.gossipRound(ctx, supervisor)
			}
		case message := <-m.messages.C():
			m.handleMessage(ctx, supervisor, message)
		}
	}
}

func (m *Membership) handleMessage(ctx context.Context, supervisor *suture.Supervisor, message Message) {
	switch message := message.(type) {
	case Publish:
		m.publishFact(ctx, supervisor, message.Fact)
	case Members:
		message.Reply.Send(m.table.Members(m.clock.Now()))
	case Invoke:
		m.invoke(supervisor, message)
	case digestReceived:
		message.reply.Send(m.answerDigest(ctx, supervisor, message.digest))
	case digestAnswered:
		m.finishExchange(ctx, supervisor, message)
	case callResult:
		m.recordCallResult(message)
	case leaveRequested:
		m.heartbeat.Leaving = true
	}
}

// applyHostList updates the table from the host list and stops the links to peers
// that have left or changed their address. The next call starts a new link.
func (m *Membership) applyHostList(supervisor *suture.Supervisor, hosts []model.Host) {
	m.table.ApplyHostList(hosts)
	now := m.clock.Now()
	for id, link := range m.links {
		member, found := m.table.Member(id, now)
		if found && member.Address == link.task.address {
			continue
		}
		delete(m.links, id)
		_ = supervisor.Remove(link.token)
	}
}

func (m *Membership) recordCallResult(result callResult) {
	if result.reached {
		m.table.RecordAnswer(result.peer, m.clock.Now())
		return
	}
	m.table.RecordCallFailure(result.peer, m.clock.Now())
}

// gossipRound sends a digest to each target of one round.
func (m *Membership) gossipRound(ctx context.Context, supervisor *suture.Supervisor) {
	now := m.clock.Now()
	members := m.table.Members(now)
	m.facts.Maintain(now, len(members))
	for _, target := range roundTargets(m.random, members, m.self) {
		m.gossiped = true
		digest := m.newDigest(target.DataCentre != m.self.DataCentre, maxDigestBytes)
		digest.Join = !m.joined
		m.startExchange(ctx, supervisor, target.ID, digest)
	}
}

// newDigest returns a digest for a peer. Peers of other data centres (remote)
// receive no ages of the members of this one.
func (m *Membership) newDigest(remote bool, budgetBytes int) Digest {
	digest := Digest{From: m.heartbeat, DataCentre: string(m.self.DataCentre), Facts: m.facts.Select(budgetBytes, remote)}
	if !remote {
		digest.Ages = m.table.Ages(m.clock.Now(), maxDigestAges)
	}
	return digest
}

// startExchange sends a digest in the background; the answer arrives as a
// digestAnswered message.
func (m *Membership) startExchange(ctx context.Context, supervisor *suture.Supervisor, peer model.HostID, digest Digest) {
	callContext, cancel := context.WithTimeout(ctx, exchangeTimeout)
	reply := make(chan error, 1)
	answer := new(Digest)
	m.invoke(supervisor, Invoke{
		Context: callContext, Host: peer, Method: methodExchange, Arguments: &digest, Result: answer, Reply: reply,
	})
	go func() {
		defer cancel()
		var err error
		select {
		case err = <-reply:
		case <-ctx.Done():
			return
		}
		if err == nil {
			_ = m.messages.Send(ctx, digestAnswered{digest: *answer})
		}
	}()
}

func (m *Membership) finishExchange(ctx context.Context, supervisor *suture.Supervisor, message digestAnswered) {
	m.joined = true
	m.mergeDigest(ctx, supervisor, message.digest)
}

// answerDigest merges the digest of a peer and returns the answer.
func (m *Membership) answerDigest(ctx context.Context, supervisor *suture.Supervisor, digest Digest) Digest {
	if _, listed := m.table.Member(digest.From.ID, m.clock.Now()); !listed {
		// Urgent facts reach only listed hosts. A full mailbox holds a request already.
		_ = m.refreshes.TrySend(platform.RefreshHosts{})
	}
	m.mergeDigest(ctx, supervisor, digest)
	remote := digest.DataCentre != string(m.self.DataCentre)
	if digest.Push {
		return Digest{From: m.heartbeat, DataCentre: string(m.self.DataCentre)}
	}
	if !digest.Join {
		return m.newDigest(remote, maxDigestBytes)
	}
	answer := m.newDigest(remote, 0)
	answer.Facts = m.facts.SelectForJoin(maxJoinBytes)
	return answer
}

// mergeDigest applies a digest, delivers new facts to the subscribers and forwards
// urgent ones.
func (m *Membership) mergeDigest(ctx context.Context, supervisor *suture.Supervisor, digest Digest) {
	now := m.clock.Now()
	m.table.ApplyHeartbeat(now, digest.From)
	m.table.ApplyAges(now, digest.Ages)
	members := m.table.Members(now)
	for _, fact := range m.facts.Merge(now, digest.Facts, len(members)) {
		m.deliverToSubscribers(fact)
		m.pushUrgent(ctx, supervisor, members, fact)
	}
}

func (m *Membership) deliverToSubscribers(fact Fact) {
	for _, subscriber := range m.subscribers {
		if !slices.Contains(subscriber.Kinds, fact.Kind) {
			continue
		}
		if err := subscriber.Mailbox.TrySend(fact); err != nil {
			m.dropped.Inc()
		}
	}
}

func (m *Membership) publishFact(ctx context.Context, supervisor *suture.Supervisor, fact Fact) {
	now := m.clock.Now()
	members := m.table.Members(now)
	stored, ok := m.facts.Publish(now, fact, len(members))
	if !ok {
		m.dropped.Inc()
		m.logger.Error("fact too large to share", eventcode.FactTooLarge.Attr(), "kind", fact.Kind, "key", fact.Key, "bytes", len(fact.Value))
		return
	}
	m.pushUrgent(ctx, supervisor, members, stored)
}

// pushUrgent sends a fact to peers at once if its kind is urgent.
func (m *Membership) pushUrgent(ctx context.Context, supervisor *suture.Supervisor, members []Member, fact Fact) {
	if !isUrgent(fact.Kind) {
		return
	}
	for _, target := range urgentTargets(m.random, members, m.self, fact.Everywhere) {
		m.startExchange(ctx, supervisor, target.ID, Digest{
			From: m.heartbeat, DataCentre: string(m.self.DataCentre), Facts: []Fact{fact}, Push: true,
		})
	}
}

// invoke queues a call for the link of the peer and starts the link if needed.
func (m *Membership) invoke(supervisor *suture.Supervisor, invoke Invoke) {
	member, found := m.table.Member(invoke.Host, m.clock.Now())
	if !found {
		invoke.Reply.Send(ErrUnreachable.New("%s is not in the host list", invoke.Host))
		return
	}
	link, running := m.links[invoke.Host]
	if !running {
		link.task = newLinkTask(invoke.Host, member.Address, m.linkConfig)
		link.token = supervisor.Add(link.task)
		m.links[invoke.Host] = link
	}
	if err := link.task.calls.TrySend(linkMessage{invoke: invoke}); err != nil {
		invoke.Reply.Send(ErrUnreachable.Wrap(err))
	}
}
