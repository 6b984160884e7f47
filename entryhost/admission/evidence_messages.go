package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// evidenceReportsMailboxSize bounds the reports not yet handled by the control
// task. A report that a full mailbox rejects is sent again with the next interval.
const evidenceReportsMailboxSize = 256

// EvidenceReport is the evidence of a dispatcher about a running version move, from
// its own requests and from the counts of peers.
type EvidenceReport struct {
	Service model.ServiceName
	Move    model.MoveID
	// Samples is the number of finished attempts of the new version.
	Samples int
	Verdict Verdict
	// Suspicious is true if a test has reached the suspicion level of the policy.
	Suspicious bool
	Routes     []model.RouteEvidence
}

// EvidenceLinks connects the dispatchers with the tasks that receive their
// evidence.
type EvidenceLinks struct {
	Policy   EvidencePolicy
	Reports  task.Mailbox[EvidenceReport]
	Peers    task.Mailbox[peers.Message]
	Recorder events.Recorder
}

// evidenceLifetime is how long a fact with evidence is valid at peers without a
// repetition.
const evidenceLifetime = 10 * time.Minute
