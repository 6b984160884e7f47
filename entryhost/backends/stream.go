package backends

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

// maxEventBytes bounds one server-sent event of an engine.
const maxEventBytes = 1 << 20

// maxErrorBytes bounds what is kept of an engine's error body.
const maxErrorBytes = 4 << 10

// streamTask owns one connection to an engine for one attempt of a request.
type streamTask struct {
	client     *http.Client
	address    string
	generation TransportGeneration
	open       OpenStream
	// commands is the mailbox of the server task, for load reports in answers.
	commands task.Mailbox[Command]
}

// run sends the request and forwards its events until the stream ends.
func (s *streamTask) run() {
	if err := s.send(StreamEvent{Transport: s.generation}); err != nil {
		return
	}
	if failure := s.exchange(); failure != nil {
		_ = s.send(StreamEvent{Err: failure})
	}
}

// send sends an event to the request. It blocks while the mailbox is full, until
// the attempt is given up.
func (s *streamTask) send(event StreamEvent) error {
	event.Attempt = s.open.Attempt
	if s.open.Events.TrySend(event) == nil {
		return nil
	}
	return s.open.Events.Send(s.open.Context, event)
}

func (s *streamTask) exchange() *StreamError {
	request, err := s.newRequest()
	if err != nil {
		return &StreamError{Kind: FailureInvalid, Message: err.Error()}
	}
	tracked, used := trackConnection(request)
	response, err := s.client.Do(tracked)
	if err != nil {
		return s.transportError(err, used.sent())
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return s.statusError(response)
	}
	return s.forwardEvents(response)
}

func (s *streamTask) newRequest() (*http.Request, error) {
	if s.open.ResumeStream != "" {
		address := "http://" + s.address + enginewire.PathStreams + s.open.ResumeStream + "?from=" + strconv.Itoa(s.open.ResumeFrom)
		return http.NewRequestWithContext(s.open.Context, http.MethodGet, address, nil)
	}
	body, err := json.Marshal(s.open.Body)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(s.open.Context, http.MethodPost, "http://"+s.address+s.open.Path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// forwardEvents forwards server-sent events until the end mark. A stream that ends
// without it is broken, even if the connection was closed cleanly.
func (s *streamTask) forwardEvents(response *http.Response) *StreamError {
	if load, found := loadFromHeader(response.Header); found {
		// A full mailbox drops the report; the next one replaces it.
		_ = s.commands.TrySend(loadReceived{load: load})
	}
	engineStream := response.Header.Get(enginewire.HeaderStreamID)
	finished := false
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.transportError(err, true)
		}
		if event.Data == enginewire.StreamEnd && finished {
			return nil
		}
		if event.Data == enginewire.StreamEnd {
			return &StreamError{Kind: FailureBroken, Message: "the stream ended without a finish reason"}
		}
		update, failure := decodeChunk(event.Data)
		if failure != nil {
			return failure
		}
		update.EngineStream = engineStream
		finished = finished || update.Finish != ""
		if err := s.send(update); err != nil {
			return &StreamError{Kind: FailureCancelled, Message: err.Error()}
		}
	}
	return &StreamError{Kind: FailureBroken, Message: "the stream ended without its end mark"}
}

func (s *streamTask) transportError(err error, sent bool) *StreamError {
	if s.open.Context.Err() != nil {
		return &StreamError{Kind: FailureCancelled, Message: context.Cause(s.open.Context).Error()}
	}
	return transportFailure(err, sent)
}

// transportFailure classifies an error of net/http by whether any byte of the
// request may have been sent.
func transportFailure(err error, sent bool) *StreamError {
	if !sent {
		return &StreamError{Kind: FailureConnect, Message: err.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &StreamError{Kind: FailureBroken, Message: "connection closed early"}
	}
	return &StreamError{Kind: FailureBroken, Message: err.Error()}
}

// statusError classifies an answer with an error status. Statuses 429 and 503
// mean that the engine did not run the request. Any error status to a resumption
// means that the stream is gone, not that the caller's request is invalid.
func (s *streamTask) statusError(response *http.Response) *StreamError {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	failure := &StreamError{
		Kind:    FailureStatus,
		Status:  response.StatusCode,
		Message: fmt.Sprintf("status %d: %s", response.StatusCode, strings.TrimSpace(string(text))),
	}
	switch {
	case s.open.ResumeStream != "":
		failure.Kind = FailureGone
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		failure.Kind = FailureRefused
	case response.StatusCode >= 400 && response.StatusCode < 500:
		failure.Kind = FailureInvalid
	}
	return failure
}
