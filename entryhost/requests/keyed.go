package requests

import (
	"bytes"
	"context"
	"crypto/rand"
	"io"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/claims"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// acquireTimeout bounds the wait for a key. It is longer than the claim
	// writer's own limits, so that it expires only if the writer has failed.
	acquireTimeout = 5 * time.Second
	// recordTimeout bounds how long an answer is delayed until its record is in
	// the table. The writer continues with the record afterwards.
	recordTimeout = 250 * time.Millisecond
	// minBodyTimeout is the shortest time allowed for the body of a keyed call's
	// answer, even when the deadline is nearer.
	minBodyTimeout = time.Second
	// callEndGrace is how long after its deadline a keyed call may still end.
	callEndGrace = minBodyTimeout + acquireTimeout
)

// headerReplayed marks an answer that was recorded for an earlier request.
const headerReplayed = "Idempotency-Replayed"

// keyStore grants idempotency keys and stores the outcome of their calls.
type keyStore interface {
	// acquire requests the right to dispatch the key's call.
	acquire(ctx context.Context) (claims.AcquireResult, error)
	// recordOutcome stores the outcome of an acquired key and reports whether it was
	// stored.
	recordOutcome(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error)
}

// serveKeyed runs the call only if this request acquires its key.
func (c *callTask) serveKeyed(ctx context.Context) Answer {
	if tickets.IsTicket(c.start.Call.Key) {
		return c.serveTicket(ctx)
	}
	return c.serveWithStore(ctx, c.claimStore())
}

// serveWithStore acquires the key, runs the call and stores its outcome. If the
// key was used before, it returns the recorded answer or a fault.
func (c *callTask) serveWithStore(ctx context.Context, store keyStore) Answer {
	acquired, err := c.acquire(ctx, store)
	if err != nil {
		return c.refuse(model.NotRun(model.KindUnavailable, model.ReasonPlatformUnavailable,
			"the key could not be claimed in time", "send the request again with the same key"))
	}
	if acquired.Answer != nil {
		c.recordEvent(eventcode.AnswerRepeated, admission.Assignment{}, "", "an earlier request with the key was answered")
		return Answer{Head: replayedHead(acquired.Answer)}
	}
	if acquired.Fault != nil {
		return c.refuse(acquired.Fault)
	}
	head, fault := c.runAttempts(ctx)
	if fault != nil {
		c.recordOutcome(ctx, store, keyStateAfter(fault), nil)
		return Answer{Fault: fault}
	}
	return c.recordAnswer(ctx, store, head)
}

// acquire waits for the result even after the caller has disconnected, because
// a key that is held without a call would block all repeated requests.
func (c *callTask) acquire(ctx context.Context, store keyStore) (claims.AcquireResult, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	started := c.clock.Now()
	acquired, err := store.acquire(ctx)
	c.dependencies.Metrics.GetOrCreateHistogram("lentilpoint_key_wait_seconds").UpdateDuration(started)
	return acquired, err
}

func (c *callTask) refuse(fault *model.Fault) Answer {
	c.recordEvent(eventcode.CallRefused, admission.Assignment{}, fault.Reason, fault.Message)
	return Answer{Fault: fault}
}

// recordAnswer reads the answer up to claims.MaxAnswerBytes, records the
// outcome and returns the answer.
func (c *callTask) recordAnswer(ctx context.Context, store keyStore, head backends.ExchangeHead) Answer {
	limit := max(c.start.Call.Deadline.Sub(c.clock.Now()), minBodyTimeout)
	timer := c.clock.AfterFunc(limit, func() { _ = head.Body.Close() })
	content, err := io.ReadAll(io.LimitReader(head.Body, claims.MaxAnswerBytes+1))
	inTime := timer.Stop()
	if err != nil || !inTime {
		_ = head.Body.Close()
		c.recordOutcome(ctx, store, claims.StateUnknown, nil)
		failure := &backends.StreamError{Kind: backends.FailureBroken, Message: "the answer was cut short"}
		return Answer{Fault: callFault(failure, true)}
	}
	answer := &claims.Answer{Status: head.Status, Header: replayableHeader(head), Body: content}
	if len(content) <= claims.MaxAnswerBytes {
		_ = head.Body.Close()
		head.Body = io.NopCloser(bytes.NewReader(content))
		c.recordOutcome(ctx, store, claims.StateDone, answer)
		return Answer{Head: head}
	}
	answer.Body, answer.BodyOmitted = nil, true
	c.recordOutcome(ctx, store, claims.StateDone, answer)
	// The exchange outlives the caller, so its body is closed here.
	body := head.Body
	context.AfterFunc(c.start.Context, func() { _ = body.Close() })
	head.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(content), body), Closer: body}
	return Answer{Head: head}
}

// readCloser combines a reader with the closer of its source.
type readCloser struct {
	io.Reader
	io.Closer
}

// recordOutcome stores the outcome. A slow table delays the answer by at most
// recordTimeout.
func (c *callTask) recordOutcome(ctx context.Context, store keyStore, state claims.State, answer *claims.Answer) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, err := store.recordOutcome(ctx, state, answer)
	if err == nil && recorded {
		return
	}
	c.incrementCounter("lentilpoint_outcomes_not_recorded_total", string(state))
	c.recordEvent(eventcode.OutcomeNotRecorded, admission.Assignment{}, "", "state "+string(state))
}

// replayableHeader returns the headers that are recorded for repeated requests.
func replayableHeader(head backends.ExchangeHead) map[string][]string {
	header := backends.EndToEndHeaders(head.Header)
	header.Del("X-Request-Id")
	return header
}

func replayedHead(answer *claims.Answer) backends.ExchangeHead {
	header := backends.EndToEndHeaders(answer.Header)
	header.Set(headerReplayed, "true")
	return backends.ExchangeHead{Status: answer.Status, Header: header, Body: io.NopCloser(bytes.NewReader(answer.Body))}
}

// claimStore stores a key in the platform's table.
type claimStore struct {
	claimWriter task.Mailbox[claims.Message]
	row         string
	record      claims.Record
	deadline    time.Time
	version     platform.RowVersion
}

func (c *callTask) claimStore() *claimStore {
	call := c.start.Call
	identity := c.dependencies.Issuer.Identity()
	return &claimStore{
		claimWriter: c.dependencies.Claims,
		row:         claims.RowKey(call.Organisation.ID, call.Key),
		deadline:    call.Deadline,
		record: claims.Record{
			ID: rand.Text(), BodyHash: c.bodyHash(), Host: identity.Host, Incarnation: identity.Incarnation,
			State: claims.StateClaimed, Until: call.Deadline.Add(callEndGrace),
		},
	}
}

func (c *callTask) bodyHash() string {
	call := c.start.Call
	return claims.BodyHash(call.Service, call.Method, call.Path, call.BufferedBody)
}

func (s *claimStore) acquire(ctx context.Context) (claims.AcquireResult, error) {
	acquired, err := task.Call(ctx, s.claimWriter, func(reply task.Reply[claims.AcquireResult]) claims.Message {
		return claims.Claim{Row: s.row, Record: s.record, Deadline: s.deadline, Reply: reply}
	})
	s.version = acquired.Version
	return acquired, err
}

func (s *claimStore) recordOutcome(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error) {
	record := s.record
	record.State = state
	record.Answer = answer
	return task.Call(ctx, s.claimWriter, func(reply task.Reply[bool]) claims.Message {
		return claims.RecordOutcome{Row: s.row, Version: s.version, Record: record, Reply: reply}
	})
}
