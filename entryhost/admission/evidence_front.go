package admission

import (
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/task"
)

// evidenceModule provides the policy and the mailboxes for evidence about versions.
var evidenceModule = fx.Options(
	fx.Provide(
		DefaultEvidencePolicy,
		func() task.Mailbox[EvidenceReport] {
			return task.NewMailbox[EvidenceReport](evidenceReportsMailboxSize)
		},
		provideEvidenceLinks,
	),
)

func provideEvidenceLinks(policy EvidencePolicy, reports task.Mailbox[EvidenceReport], membership task.Mailbox[peers.Message], recorder events.Recorder) EvidenceLinks {
	return EvidenceLinks{Policy: policy, Reports: reports, Peers: membership, Recorder: recorder}
}
