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
	// membershipMailboxSize bounds the messages that wait for the membership
	// task. A full mailbox returns ErrMailboxFull to publishers and fails calls.
	membershipMailboxSize = 1024
	// hostsMailboxSize is 4, as only the newest host list matters; a full
	// mailbox drops the list.
	hostsMailboxSize = 4
	// roundInterval is the time between gossip rounds. With push and pull it
	// keeps heartbeats of 22 hosts younger than aliveTimeout.
	roundInterval = 500 * time.Millisecond
)

// Names of the metrics of this package.
const (
	metricSent     = "lentilpoint_peer_bytes_sent_total"
	metricReceived = "lentilpoint_peer_bytes_received_total"
	metricDropped  = "lentilpoint_peer_facts_dropped_total"
)

// Membership is the task that owns the table of entry hosts and the facts.
type Membership struct {
	messages    task.Mailbox[Message]
	hosts       task.Mailbox[platform.HostsRead]
	subscribers []Subscriber
	links       linkConfig
	random      *rand.Rand
	clock       clockwork.Clock
	dropped     *metrics.Counter
	logger      *slog.Logger

	self   Member
	own    Heartbeat
	table  *Table
	facts  *FactStore
	linked map[model.HostID]linkedPeer
	joined bool
}

// linkedPeer is a running link.
type linkedPeer struct {
	task  *linkTask
	token suture.ServiceToken
}

// received is a digest of a peer that waits for an answer.
type received struct {
	digest Digest
	reply  task.Reply[Digest]
}

// answered is a peer's answer to a digest of this host.
type answered struct{ digest Digest }

// leave marks this host as leaving in its heartbeats.
type leave struct{}

func (received) peersMessage() {}
func (answered) peersMessage() {}
func (leave) peersMessage()    {}

// Messages is the mailbox of the membership task.
func (m *Membership) Messages() task.Mailbox[Message] { return m.messages }

// Leave tells peers that this host is leaving. It does not wait.
func (m *Membership) Leave() error { return m.messages.TrySend(leave{}) }

// String names the task in the logs.
func (m *Membership) String() string { return "peers" }

// Serve gossips until the context ends.
func (m *Membership) Serve(ctx context.Context) error {
	supervisor := task.NewSupervisor("links", task.DefaultRestartPolicy, m.logger)
	done := supervisor.ServeBackground(ctx)
	m.linked = make(map[model.HostID]linkedPeer)
	ticker := m.clock.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			<-done
			return nil
		case <-ticker.Chan():
			m.round(ctx, supervisor)
		case read := <-m.hosts.C():
			m.applyList(supervisor, read.Hosts)
		case message := <-m.messages.C():
			m.handle(ctx, supervisor, message)
		}
	}
}

func (m *Membership) handle(ctx context.Context, supervisor *suture.Supervisor, message Message) {
	switch message := message.(type) {
	case Publish:
		m.publish(ctx, supervisor, message.Fact)
	case Members:
		message.Reply.Send(m.table.Members(m.clock.Now()))
	case Invoke:
		m.invoke(supervisor, message)
	case received:
		message.reply.Send(m.receive(ctx, supervisor, message.digest))
	case answered:
		m.finishExchange(ctx, supervisor, message)
	case callResult:
		m.noteCall(message)
	case leave:
		m.own.Leaving = true
	}
}

// applyList takes over the host list. A change of address replaces the link.
func (m *Membership) applyList(supervisor *suture.Supervisor, hosts []model.Host) {
	m.table.ApplyList(hosts)
	now := m.clock.Now()
	for id, linked := range m.linked {
		member, found := m.table.Member(id, now)
		if found && member.Address == linked.task.address {
			continue
		}
		delete(m.linked, id)
		_ = supervisor.Remove(linked.token)
	}
}

func (m *Membership) noteCall(result callResult) {
	if result.reached {
		m.table.Reached(result.peer, m.clock.Now())
		return
	}
	m.table.Failed(result.peer, m.clock.Now())
}

// round sends a digest to the targets of this round.
func (m *Membership) round(ctx context.Context, supervisor *suture.Supervisor) {
	now := m.clock.Now()
	members := m.table.Members(now)
	m.facts.Maintain(now, len(members))
	for _, target := range roundTargets(m.random, members, m.self) {
		digest := m.digest(target.DataCentre != m.self.DataCentre, maxDigestBytes)
		digest.Join = !m.joined
		m.exchange(ctx, supervisor, target.ID, digest)
	}
}

// digest builds what is sent to a peer. Peers of other data centres receive no
// ages of the members of this one.
func (m *Membership) digest(remote bool, budgetBytes int) Digest {
	digest := Digest{From: m.own, DataCentre: string(m.self.DataCentre), Facts: m.facts.Select(budgetBytes, remote)}
	if !remote {
		digest.Ages = m.table.Ages(m.clock.Now(), maxAges)
	}
	return digest
}

// exchange sends a digest in the background and brings the answer back as a message.
func (m *Membership) exchange(ctx context.Context, supervisor *suture.Supervisor, peer model.HostID, digest Digest) {
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
			_ = m.messages.Send(ctx, answered{digest: *answer})
		}
	}()
}

func (m *Membership) finishExchange(ctx context.Context, supervisor *suture.Supervisor, message answered) {
	m.joined = true
	m.merge(ctx, supervisor, message.digest)
}

// receive merges a peer's digest and returns the answer.
func (m *Membership) receive(ctx context.Context, supervisor *suture.Supervisor, digest Digest) Digest {
	m.merge(ctx, supervisor, digest)
	remote := digest.DataCentre != string(m.self.DataCentre)
	if digest.Push {
		return Digest{From: m.own, DataCentre: string(m.self.DataCentre)}
	}
	if !digest.Join {
		return m.digest(remote, maxDigestBytes)
	}
	answer := m.digest(remote, 0)
	answer.Facts = m.facts.All(maxJoinBytes)
	return answer
}

// merge applies a digest, tells the subscribers and passes urgent facts on.
func (m *Membership) merge(ctx context.Context, supervisor *suture.Supervisor, digest Digest) {
	now := m.clock.Now()
	m.table.Hear(now, digest.From)
	m.table.HearAges(now, digest.Ages)
	members := m.table.Members(now)
	for _, fact := range m.facts.Merge(now, digest.Facts, len(members)) {
		m.deliver(fact)
		m.spread(ctx, supervisor, members, fact)
	}
}

func (m *Membership) deliver(fact Fact) {
	for _, subscriber := range m.subscribers {
		if !slices.Contains(subscriber.Kinds, fact.Kind) {
			continue
		}
		if err := subscriber.Mailbox.TrySend(fact); err != nil {
			m.dropped.Inc()
		}
	}
}

func (m *Membership) publish(ctx context.Context, supervisor *suture.Supervisor, fact Fact) {
	now := m.clock.Now()
	members := m.table.Members(now)
	stored, ok := m.facts.Publish(now, fact, len(members))
	if !ok {
		m.dropped.Inc()
		m.logger.Error("fact too large to share", eventcode.FactTooLarge.Attr(), "kind", fact.Kind, "key", fact.Key, "bytes", len(fact.Value))
		return
	}
	m.spread(ctx, supervisor, members, stored)
}

// spread sends an urgent fact at once.
func (m *Membership) spread(ctx context.Context, supervisor *suture.Supervisor, members []Member, fact Fact) {
	if !urgent(fact.Kind) {
		return
	}
	for _, target := range urgentTargets(m.random, members, m.self, fact.Everywhere) {
		m.exchange(ctx, supervisor, target.ID, Digest{
			From: m.own, DataCentre: string(m.self.DataCentre), Facts: []Fact{fact}, Push: true,
		})
	}
}

// invoke hands a call to the link of the peer and starts the link if needed.
func (m *Membership) invoke(supervisor *suture.Supervisor, invoke Invoke) {
	member, found := m.table.Member(invoke.Host, m.clock.Now())
	if !found {
		invoke.Reply.Send(ErrUnreachable.New("%s is not in the host list", invoke.Host))
		return
	}
	linked, running := m.linked[invoke.Host]
	if !running {
		linked.task = newLinkTask(invoke.Host, member.Address, m.links)
		linked.token = supervisor.Add(linked.task)
		m.linked[invoke.Host] = linked
	}
	if err := linked.task.calls.TrySend(linkMessage{invoke: invoke}); err != nil {
		invoke.Reply.Send(ErrUnreachable.Wrap(err))
	}
}
