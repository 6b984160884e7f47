package admission

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// evidenceReportsSize bounds the reports that wait for the control task. A full
// mailbox drops the report; the next one replaces it.
const evidenceReportsSize = 256

// EvidenceReport is what a dispatcher knows of a running move, from its own
// requests and those that peers told of.
type EvidenceReport struct {
	Service model.ServiceName
	Move    model.MoveID
	// Samples is the number of finished attempts of the new version.
	Samples int
	Verdict Verdict
	// Suspicious tells that a test is on the way to a verdict.
	Suspicious bool
	Routes     []model.RouteEvidence
}

// EvidenceLinks connect the dispatchers with the tasks that use their evidence.
type EvidenceLinks struct {
	Policy   EvidencePolicy
	Reports  task.Mailbox[EvidenceReport]
	Peers    task.Mailbox[peers.Message]
	Recorder events.Recorder
}

// factLifetime is how long shared evidence holds without news.
const factLifetime = 10 * time.Minute
