package admission

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/task"
)

// UseEvidence connects the dispatchers with the tasks that use their evidence.
// It is called before the front runs.
func (f *Front) UseEvidence(links EvidenceLinks) { f.evidence = links }

// Facts is where the membership task sends the facts of peers.
func (f *Front) Facts() task.Mailbox[peers.Fact] { return f.facts }

// forwardFact gives a fact to all dispatchers; each ignores the moves of other
// services. A full mailbox drops it, as the next change brings newer counts.
func (f *Front) forwardFact(fact peers.Fact) {
	for _, dispatcher := range f.dispatchers {
		_ = dispatcher.messages.TrySend(PeerFact{Fact: fact})
	}
}

// evidenceModule provides what the dispatchers need to judge versions.
var evidenceModule = fx.Options(
	fx.Provide(
		DefaultEvidencePolicy,
		func() task.Mailbox[EvidenceReport] { return task.NewMailbox[EvidenceReport](evidenceReportsSize) },
		provideEvidenceLinks,
		fx.Annotate(provideFactSubscriber, fx.ResultTags(`group:"fact_subscribers"`)),
	),
)

func provideEvidenceLinks(policy EvidencePolicy, reports task.Mailbox[EvidenceReport], membership task.Mailbox[peers.Message], recorder events.Recorder) EvidenceLinks {
	return EvidenceLinks{Policy: policy, Reports: reports, Peers: membership, Recorder: recorder}
}

func provideFactSubscriber(front *Front) peers.Subscriber {
	return peers.Subscriber{Kinds: []peers.FactKind{peers.FactEvidence, peers.FactWithdrawal}, Mailbox: front.Facts()}
}
