package ingress

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/forward"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// maxRequestTime bounds requests whose route and caller state no limit, so that no
	// request runs for good.
	maxRequestTime = time.Hour
	// minBodyTime is how long a body is read at least. A deadline in the past would also
	// end the read by which net/http notices that a caller leaves, so that a request with
	// a short time limit would be closed without an answer.
	minBodyTime = 300 * time.Millisecond
	// lookupTimeout bounds the wait for the catalog.
	lookupTimeout = time.Second
)

// admitRequest matches the request to the configuration in force and reads its body.
// It returns a fault if the request is refused.
func (f *Front) admitRequest(writer http.ResponseWriter, incoming *http.Request, head RequestHead, arrived time.Time) (*forward.Request, *model.Fault) {
	ctx, cancel := context.WithTimeout(incoming.Context(), lookupTimeout)
	defer cancel()
	view, err := task.Call(ctx, f.Catalog, func(reply task.Reply[*catalog.View]) catalog.ViewRequest {
		return catalog.ViewRequest{Reply: reply}
	})
	if err != nil || view.Config == nil {
		return nil, model.NotRun(model.KindUnavailable, model.ReasonNotReady, "this host has no configuration yet", "send the request again").WithRetryAfter(retryAfter)
	}
	route, organisation, fault := matchRoute(view.Config, incoming, head)
	if fault != nil {
		return nil, fault
	}
	deadline := arrived.Add(timeLimit(route, head) - responseMargin)
	readUntil := f.Clock.Now().Add(minBodyTime)
	if readUntil.Before(deadline) {
		readUntil = deadline
	}
	body, fault := readBody(writer, incoming, view.Config.Limits.MaxBodyBytes, readUntil)
	if fault != nil {
		return nil, fault
	}
	deadline, admitted := f.drainDeadline(route, deadline)
	if !admitted {
		return nil, model.NotRun(model.KindUnavailable, model.ReasonDraining, "this host stops", "send the request again on a new connection").WithRetryAfter(retryAfter)
	}
	service := view.Config.Services[route.Service(rand.Float64())]
	return &forward.Request{
		ID: head.ID, Method: incoming.Method, Target: incoming.RequestURI, Host: incoming.Host, Header: head.Header,
		Body: body, LastEventID: head.LastEventID, Prompt: head.Prompt, Route: route, Service: service, Organisation: organisation.Name, Rank: organisation.Rank(route),
		Arrived: arrived, Deadline: deadline, CallerLimit: head.Timeout,
	}, nil
}

// drainDeadline returns the deadline of a request, and whether it is taken, which depends on
// the progress of a drain. Once callers know that this host drains, a request is refused
// that may last longer than the drain, because it would be cut off without an answer, and
// its caller may not be allowed to send it again. Of one that is taken before, the
// deadline is the end of the drain at the latest, so that its caller gets an answer then.
func (f *Front) drainDeadline(route *routing.Route, deadline time.Time) (time.Time, bool) {
	if !isClosed(f.draining) {
		return deadline, true
	}
	isLong := deadline.After(f.stopsAt)
	if isClosed(f.refusingAll) || route.Kind == routing.Streaming && isClosed(f.refusingStreams) || isLong && isClosed(f.refusingLong) {
		return deadline, false
	}
	if isLong {
		return f.stopsAt, true
	}
	return deadline, true
}

// timeLimit returns the time that a request may take. A limit that is not stated does not
// count.
func timeLimit(route *routing.Route, head RequestHead) time.Duration {
	limit := maxRequestTime
	for _, stated := range []time.Duration{route.Timeout, head.Timeout} {
		if stated > 0 {
			limit = min(limit, stated)
		}
	}
	return limit
}

// readBody reads the body of a request until the deadline.
func readBody(writer http.ResponseWriter, incoming *http.Request, maxBytes int64, deadline time.Time) ([]byte, *model.Fault) {
	// Without a deadline, as where the writer has no connection, only the limit counts.
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(deadline)
	gate := gateOf(incoming.Context())
	body, err := memory.ReadBody(incoming.Body, incoming.ContentLength, maxBytes, gate)
	switch {
	case errors.Is(err, memory.ErrNoRoom) || !gate.EndBody():
		// The rest of the body is not read, so its connection cannot be used again.
		writer.Header().Set("Connection", "close")
		gate.Interrupt()
		return nil, model.NotRun(model.KindUnavailable, model.ReasonMemoryFull, "this host has no memory for the request, or others needed it while the body arrived slowly", "send it again after the pause").WithRetryAfter(jitter(retryAfter))
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The deadline stays, since net/http reads the rest of the body before it answers.
		return nil, model.NotRun(model.KindUnavailable, model.ReasonDeadlinePassed, "the body was not complete before the deadline", "send it again with a longer deadline")
	case err != nil:
		return nil, model.NotRun(model.KindInvalid, model.ReasonBodyTooLarge, err.Error(), "send a body within the limit of the configuration")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// jitter spreads a pause over a half to one and a half of it, so that callers that were
// refused together do not return together.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause)
}

func matchRoute(config *routing.Config, incoming *http.Request, head RequestHead) (*routing.Route, routing.Organisation, *model.Fault) {
	route, found := config.Match(incoming.Host, incoming.URL.EscapedPath())
	if !found {
		return nil, routing.Organisation{}, model.NotRun(model.KindNotFound, model.ReasonUnknownService, "no route matches the host and path", "check the URL")
	}
	organisation, found := config.Organisation(head.Key)
	if !found && !route.Public {
		return nil, routing.Organisation{}, model.NotRun(model.KindUnauthorised, model.ReasonUnknownKey, "the API key is not known", "use a key of the configuration")
	}
	return route, organisation, nil
}
