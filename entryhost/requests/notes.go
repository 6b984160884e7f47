package requests

import (
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// recordEvent records an event of the generation. The attempt may be nil.
func (g *generationTask) recordEvent(code eventcode.Code, a *attempt, cause string) {
	generation := g.start.Generation
	event := events.Event{
		Code: code, Request: generation.ID, Organisation: generation.Organisation.ID, Service: generation.Service,
		Version: g.ledger.Version(), Tokens: g.ledger.Len(), Cause: cause,
	}
	if a != nil {
		event.Server = a.assignment.Server
		event.Version = a.assignment.Version
		event.Attempt = int(a.number)
	}
	g.recorder.Record(event)
}

func (g *generationTask) recordFailure(a *attempt, failure *backends.StreamError) {
	g.recordEvent(eventcode.AttemptFailed, a, failure.Error())
	g.logger.Info("attempt failed", eventcode.AttemptFailed.Attr(), "request", g.start.Generation.ID,
		"attempt", a.number, "server", a.assignment.Server, "cause", failure.Error(), "tokens", g.ledger.Len())
}

// countRetry counts a retry or resumption by its reason.
func (g *generationTask) countRetry(reason string) {
	g.metrics.GetOrCreateCounter(`lentilpoint_retries_total{reason="` + reason + `"}`).Inc()
}
