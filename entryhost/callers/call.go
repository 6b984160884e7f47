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

// maxTicketBytes bounds a ticket, which is longer than a key of a caller's own.
const maxTicketBytes = 1024

// callerHeaders lists the headers of a caller that stay with the entry host.
var callerHeaders = []string{"Authorization", "X-Deadline-Ms", "Host"}

// call passes a call on to a plain service.
func (s *Server) call(c *gin.Context) {
	who, fault := s.identify(c)
	if fault != nil {
		s.fail(c, who.id, fault)
		return
	}
	call, fault := s.prepareCall(c, who)
	if fault != nil {
		s.fail(c, who.id, fault)
		return
	}
	ctx := c.Request.Context()
	answer, err := task.Call(ctx, s.Requests, func(reply task.Reply[requests.Answer]) requests.Command {
		return requests.StartCall{Context: ctx, Call: call, Reply: reply}
	})
	if err != nil {
		return
	}
	if answer.Fault != nil {
		s.fail(c, who.id, answer.Fault)
		return
	}
	s.relay(c, answer.Head)
}

func (s *Server) prepareCall(c *gin.Context, who identity) (requests.Call, *model.Fault) {
	name := model.ServiceName(c.Param("service"))
	service, found := who.configuration.Services[name]
	if !found || service.Kind != model.ServicePlain {
		return requests.Call{}, model.NotRun(model.KindNotFound, model.ReasonUnknownService,
			"there is no plain service "+string(name), "check the name in the path")
	}
	deadline, fault := s.deadline(c, service)
	if fault != nil {
		return requests.Call{}, fault
	}
	key, fault := idempotencyKey(c)
	if fault != nil {
		return requests.Call{}, fault
	}
	header := backends.EndToEndHeaders(c.Request.Header)
	for _, name := range callerHeaders {
		header.Del(name)
	}
	header.Set("X-Request-Id", string(who.id))
	path := servicePath(c.Request.URL.EscapedPath(), string(name))
	if query := c.Request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	call := requests.Call{
		ID:            who.id,
		Service:       name,
		Organisation:  who.organisation,
		Deadline:      deadline,
		Fingerprint:   callFingerprint(who.organisation.ID, c.Request.Method, path, key),
		Method:        c.Request.Method,
		Path:          path,
		Header:        header,
		Body:          c.Request.Body,
		ContentLength: c.Request.ContentLength,
		Repeatable:    service.Repeatable(c.Request.Method),
		Key:           key,
	}
	if !call.Keyed() {
		return call, nil
	}
	fault = keepBody(c, &call)
	return call, fault
}

// keepBody reads the whole body of a keyed call, because its hash is claimed
// before the call is dispatched.
func keepBody(c *gin.Context, call *requests.Call) *model.Fault {
	content, fault := readBody(c)
	call.Body = nil
	call.Content = content
	call.ContentLength = int64(len(content))
	return fault
}

// idempotencyKey returns the caller's key or ticket, or "".
func idempotencyKey(c *gin.Context) (string, *model.Fault) {
	key := c.GetHeader("Idempotency-Key")
	limit := maxKeyBytes
	if tickets.IsTicket(key) {
		limit = maxTicketBytes
	}
	if len(key) > limit {
		return "", model.BadField("Idempotency-Key", "the key is longer than "+strconv.Itoa(limit)+" bytes")
	}
	return key, nil
}

// servicePath cuts the prefix that names the service off the escaped path.
func servicePath(escaped, service string) string {
	rest := strings.TrimPrefix(escaped, "/services/"+service)
	if rest == "" {
		return "/"
	}
	return rest
}

func callFingerprint(organisation model.OrganisationID, method, path, key string) model.Fingerprint {
	hash := fnv.New64a()
	for _, part := range []string{string(organisation), method, path, key} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	return model.Fingerprint(hash.Sum64())
}

// relay copies the answer of a plain service to the caller. If the copy ends
// early, the connection is cut, so that the caller sees an incomplete answer.
func (s *Server) relay(c *gin.Context, head backends.ExchangeHead) {
	defer func() { _ = head.Body.Close() }()
	for name, values := range backends.EndToEndHeaders(head.Header) {
		c.Writer.Header()[name] = values
	}
	c.Status(head.Status)
	c.Writer.WriteHeaderNow()
	if _, err := io.Copy(c.Writer, head.Body); err != nil {
		s.Logger.Info("answer of a plain service was cut", eventcode.AnswerCut.Attr(), "error", err)
		panic(http.ErrAbortHandler)
	}
}
