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
	// acquireTimeout bounds the wait for a verdict. It is longer than the
	// writer's own limits, so that it only ends when the writer failed.
	acquireTimeout = 5 * time.Second
	// recordWait bounds how long an answer waits until its record is in the
	// table. The writer goes on with the record after it.
	recordWait = 250 * time.Millisecond
	// leastBodyTime is the least time for the body of a keyed call's answer.
	leastBodyTime = time.Second
	// endGrace is how long after its deadline a claimed call may still end.
	endGrace = leastBodyTime + acquireTimeout
)

// headerRepeated marks an answer that was recorded for an earlier request.
const headerRepeated = "Idempotency-Replayed"

// keyStore decides who may use a key and keeps the outcome of its call.
type keyStore interface {
	// acquire asks for the one dispatch of the key.
	acquire(ctx context.Context) (claims.Verdict, error)
	// finish keeps the outcome of a held key. It reports whether it is kept.
	finish(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error)
}

// serveKeyed runs the call only if its key is held by this request.
func (c *callTask) serveKeyed(ctx context.Context) Answer {
	if tickets.IsTicket(c.start.Call.Key) {
		return c.serveTicket(ctx)
	}
	return c.serveHeld(ctx, c.claimStore())
}

func (c *callTask) serveHeld(ctx context.Context, store keyStore) Answer {
	verdict, err := c.acquire(ctx, store)
	if err != nil {
		return c.refuse(model.NotRun(model.KindUnavailable, model.ReasonPlatformUnavailable,
			"the key could not be claimed in time", "send the request again with the same key"))
	}
	if verdict.Answer != nil {
		c.note(eventcode.AnswerRepeated, admission.Assignment{}, "", "an earlier request with the key was answered")
		return Answer{Head: recordedHead(verdict.Answer)}
	}
	if verdict.Fault != nil {
		return c.refuse(verdict.Fault)
	}
	head, fault := c.attempts(ctx)
	if fault != nil {
		c.finish(ctx, store, stateAfter(fault), nil)
		return Answer{Fault: fault}
	}
	return c.recordAnswer(ctx, store, head)
}

// acquire waits for the verdict also after the caller is gone, because a key
// that is held without a call would block all repeats.
func (c *callTask) acquire(ctx context.Context, store keyStore) (claims.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	started := c.clock.Now()
	verdict, err := store.acquire(ctx)
	c.parts.Metrics.GetOrCreateHistogram("lentilpoint_key_wait_seconds").UpdateDuration(started)
	return verdict, err
}

func (c *callTask) refuse(fault *model.Fault) Answer {
	c.note(eventcode.CallRefused, admission.Assignment{}, fault.Reason, fault.Message)
	return Answer{Fault: fault}
}

// recordAnswer reads the answer up to the size of a record, records the outcome and
// returns the answer.
func (c *callTask) recordAnswer(ctx context.Context, store keyStore, head backends.ExchangeHead) Answer {
	limit := max(c.start.Call.Deadline.Sub(c.clock.Now()), leastBodyTime)
	timer := c.clock.AfterFunc(limit, func() { _ = head.Body.Close() })
	content, err := io.ReadAll(io.LimitReader(head.Body, claims.MaxAnswerBytes+1))
	inTime := timer.Stop()
	if err != nil || !inTime {
		_ = head.Body.Close()
		c.finish(ctx, store, claims.StateUnknown, nil)
		failure := &backends.StreamError{Kind: backends.FailureBroken, Message: "the answer was cut short"}
		return Answer{Fault: callFault(failure, true)}
	}
	answer := &claims.Answer{Status: head.Status, Header: recordedHeader(head), Body: content}
	if len(content) <= claims.MaxAnswerBytes {
		_ = head.Body.Close()
		head.Body = io.NopCloser(bytes.NewReader(content))
		c.finish(ctx, store, claims.StateDone, answer)
		return Answer{Head: head}
	}
	answer.Body, answer.BodyOmitted = nil, true
	c.finish(ctx, store, claims.StateDone, answer)
	// The exchange does not end with the caller, so its body is closed here.
	body := head.Body
	context.AfterFunc(c.start.Context, func() { _ = body.Close() })
	head.Body = readCloser{Reader: io.MultiReader(bytes.NewReader(content), body), Closer: body}
	return Answer{Head: head}
}

// readCloser joins a reader with the closer of what it reads.
type readCloser struct {
	io.Reader
	io.Closer
}

// finish keeps the outcome. A slow table delays the answer by recordWait at most.
func (c *callTask) finish(ctx context.Context, store keyStore, state claims.State, answer *claims.Answer) {
	ctx, cancel := context.WithTimeout(ctx, recordWait)
	defer cancel()
	kept, err := store.finish(ctx, state, answer)
	if err == nil && kept {
		return
	}
	c.count("lentilpoint_outcomes_not_recorded_total", string(state))
	c.note(eventcode.OutcomeNotRecorded, admission.Assignment{}, "", "state "+string(state))
}

// recordedHeader returns the headers that a repeat receives too.
func recordedHeader(head backends.ExchangeHead) map[string][]string {
	header := backends.EndToEndHeaders(head.Header)
	header.Del("X-Request-Id")
	return header
}

func recordedHead(answer *claims.Answer) backends.ExchangeHead {
	header := backends.EndToEndHeaders(answer.Header)
	header.Set(headerRepeated, "true")
	return backends.ExchangeHead{Status: answer.Status, Header: header, Body: io.NopCloser(bytes.NewReader(answer.Body))}
}

// claimStore keeps a key in the platform's table.
type claimStore struct {
	writer   task.Mailbox[claims.Message]
	row      string
	record   claims.Record
	deadline time.Time
	version  platform.RowVersion
}

func (c *callTask) claimStore() *claimStore {
	call := c.start.Call
	identity := c.parts.Issuer.Identity()
	return &claimStore{
		writer:   c.parts.Claims,
		row:      claims.RowKey(call.Organisation.ID, call.Key),
		deadline: call.Deadline,
		record: claims.Record{
			ID: rand.Text(), BodyHash: c.bodyHash(), Host: identity.Host, Incarnation: identity.Incarnation,
			State: claims.StateClaimed, Until: call.Deadline.Add(endGrace),
		},
	}
}

func (c *callTask) bodyHash() string {
	call := c.start.Call
	return claims.BodyHash(call.Service, call.Method, call.Path, call.Content)
}

func (s *claimStore) acquire(ctx context.Context) (claims.Verdict, error) {
	verdict, err := task.Call(ctx, s.writer, func(reply task.Reply[claims.Verdict]) claims.Message {
		return claims.Claim{Row: s.row, Record: s.record, Deadline: s.deadline, Reply: reply}
	})
	s.version = verdict.Version
	return verdict, err
}

func (s *claimStore) finish(ctx context.Context, state claims.State, answer *claims.Answer) (bool, error) {
	record := s.record
	record.State = state
	record.Answer = answer
	return task.Call(ctx, s.writer, func(reply task.Reply[bool]) claims.Message {
		return claims.Finish{Row: s.row, Version: s.version, Record: record, Reply: reply}
	})
}
