package callers

import (
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/entryhost/requests/tickets"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// maxTicketBytes bounds a ticket, which is longer than a key that a caller
// chooses.
const maxTicketBytes = 1024

// entryHostHeaders are the caller's headers that are not forwarded to a plain
// service.
var entryHostHeaders = []string{"Authorization", "X-Deadline-Ms", "Host"}

// serveCall forwards a call to a plain service and returns its answer.
func (s *Server) serveCall(c *gin.Context) {
	caller, fault := s.authenticate(c)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	call, fault := s.prepareCall(c, caller)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	ctx := c.Request.Context()
	answer, err := task.Call(ctx, s.Requests, func(reply task.Reply[requests.Answer]) requests.Command {
		return requests.StartCall{Context: ctx, Call: call, Reply: reply}
	})
	if err != nil {
		abortAnswer()
	}
	if answer.Fault != nil {
		abortIfGone(c)
		s.writeFault(c, caller.requestID, answer.Fault)
		return
	}
	s.copyAnswer(c, answer.Head)
}

// prepareCall checks the request and builds the call for the request task.
func (s *Server) prepareCall(c *gin.Context, caller callerIdentity) (requests.Call, *model.Fault) {
	name := model.ServiceName(c.Param("service"))
	service, found := caller.configuration.Services[name]
	if !found || service.Kind != model.ServicePlain {
		return requests.Call{}, model.NotRun(model.KindNotFound, model.ReasonUnknownService,
			"there is no plain service "+string(name), "check the name in the path")
	}
	deadline, fault := s.requestDeadline(c, service)
	if fault != nil {
		return requests.Call{}, fault
	}
	key, fault := idempotencyKey(c)
	if fault != nil {
		return requests.Call{}, fault
	}
	header := backends.EndToEndHeaders(c.Request.Header)
	for _, name := range entryHostHeaders {
		header.Del(name)
	}
	header.Set("X-Request-Id", string(caller.requestID))
	path := servicePath(c.Request.URL.EscapedPath(), string(name))
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	call := requests.Call{
		ID:            caller.requestID,
		Service:       name,
		Organisation:  caller.organisation,
		Deadline:      deadline,
		Fingerprint:   callFingerprint(caller.organisation.ID, c.Request.Method, path, key),
		Method:        c.Request.Method,
		Path:          path,
		Header:        header,
		Body:          c.Request.Body,
		ContentLength: c.Request.ContentLength,
		Repeatable:    service.Repeatable(c.Request.Method),
		Key:           key,
	}
	if !call.Keyed() {
		// The body is passed on as it arrives, so the call may run from now on.
		return call, endBody(c)
	}
	fault = bufferBody(c, &call)
	return call, fault
}

// bufferBody reads the complete body of a keyed call, because its hash is
// claimed before the call is dispatched.
func bufferBody(c *gin.Context, call *requests.Call) *model.Fault {
	content, fault := readBody(c)
	call.Body = nil
	call.BufferedBody = content
	call.ContentLength = int64(len(content))
	return fault
}

// idempotencyKey returns the caller's key or ticket, or "".
func idempotencyKey(c *gin.Context) (string, *model.Fault) {
	key := c.GetHeader("Idempotency-Key")
	limit := maxIdempotencyKeyBytes
	if tickets.IsTicket(key) {
		limit = maxTicketBytes
	}
	if len(key) > limit {
		return "", model.BadField("Idempotency-Key", "the key is longer than "+strconv.Itoa(limit)+" bytes")
	}
	return key, nil
}

// servicePath removes the prefix that names the service from the escaped path.
func servicePath(escaped, service string) string {
	path := strings.TrimPrefix(escaped, "/services/"+service)
	if path == "" {
		return "/"
	}
	return path
}

func callFingerprint(organisation model.OrganisationID, method, path, key string) model.Fingerprint {
	hash := fnv.New64a()
	for _, part := range []string{string(organisation), method, path, key} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return model.Fingerprint(hash.Sum64())
}

// copyAnswer copies the answer of a plain service to the caller. If the answer ends
// early, it is aborted.
func (s *Server) copyAnswer(c *gin.Context, head backends.ExchangeHead) {
	defer func() { _ = head.Body.Close() }()
	for name, values := range backends.EndToEndHeaders(head.Header) {
		c.Writer.Header()[name] = values
	}
	c.Status(head.Status)
	c.Writer.WriteHeaderNow()
	if _, err := io.Copy(c.Writer, head.Body); err != nil {
		s.Logger.Info("answer of a plain service was cut short", eventcode.AnswerCut.Attr(), "error", err)
		abortAnswer()
	}
}

// abortAnswer ends a request whose answer is not complete by closing its connection. If
// its handler returned, net/http would end the answer as if it was complete, also to a
// caller that counts as gone because it has only closed its sending side.
func abortAnswer() { panic(http.ErrAbortHandler) }

// abortIfGone aborts the answer if the caller counts as gone. The fault that ends its
// request for that reason may arrive before the end of the context is noticed.
func abortIfGone(c *gin.Context) {
	if c.Request.Context().Err() != nil {
		abortAnswer()
	}
}
