package scenario

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

// relayDelay is the time a fact takes between two entry hosts. It stands for a
// round of gossip, which starts once a second.
const relayDelay = time.Second

// factRelay stands in for the links between entry hosts: it passes each
// published fact on to the subscribers of the other hosts. One goroutine owns
// the members.
type factRelay struct {
	joins chan relayMember
	facts chan peers.Fact
}

type relayMember struct {
	host        model.HostID
	subscribers []peers.Subscriber
}

type relayIn struct {
	fx.In

	Settings    settings.Settings
	Published   task.Mailbox[peers.Message]
	Subscribers []peers.Subscriber `group:"fact_subscribers"`
}

// startRelay returns the option that connects an entry host to a new relay.
func startRelay(ctx context.Context) fx.Option {
	relay := &factRelay{joins: make(chan relayMember), facts: make(chan peers.Fact, 1024)}
	go relay.run(ctx)
	return fx.Invoke(func(in relayIn) {
		host := model.HostID(in.Settings.HostID)
		select {
		case relay.joins <- relayMember{host: host, subscribers: in.Subscribers}:
			go relay.collect(ctx, host, in.Published)
		case <-ctx.Done():
		}
	})
}

func (r *factRelay) run(ctx context.Context) {
	var members []relayMember
	for {
		select {
		case <-ctx.Done():
			return
		case member := <-r.joins:
			members = append(members, member)
		case fact := <-r.facts:
			deliverFact(members, fact)
		}
	}
}

// collect reads what one host publishes.
func (r *factRelay) collect(ctx context.Context, host model.HostID, published task.Mailbox[peers.Message]) {
	var sequence uint64
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-published.C():
			publish, isFact := message.(peers.Publish)
			if !isFact {
				continue
			}
			sequence++
			fact := publish.Fact
			fact.Origin, fact.Sequence = host, sequence
			time.AfterFunc(relayDelay, func() {
				select {
				case r.facts <- fact:
				case <-ctx.Done():
				}
			})
		}
	}
}

func deliverFact(members []relayMember, fact peers.Fact) {
	for _, member := range members {
		if member.host == fact.Origin {
			continue
		}
		for _, subscriber := range member.subscribers {
			for _, kind := range subscriber.Kinds {
				if kind == fact.Kind {
					_ = subscriber.Mailbox.TrySend(fact)
				}
			}
		}
	}
}
