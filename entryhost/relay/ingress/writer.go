package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/lentilpoint/lentilpoint/model"
)

// responseWriter writes the response to one caller. Only the request's goroutine
// uses it.
type responseWriter struct {
	writer   http.ResponseWriter
	draining <-chan struct{}
	// headSent is set once the head of a response was written, and complete once a whole
	// response was.
	headSent bool
	complete bool
	// output is the caller's connection, or nil if the writer has none.
	output *callerOutput
}

func (w *responseWriter) writeHead(status int, header http.Header) {
	target := w.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	if isClosed(w.draining) {
		target.Set("Connection", "close")
	}
	w.headSent = true
	w.writer.WriteHeader(status)
}

// Answer implements forward.Caller.
func (w *responseWriter) Answer(status int, header http.Header, body []byte) error {
	if status != http.StatusNoContent && status != http.StatusNotModified && header.Get("Content-Length") == "" {
		header = header.Clone()
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.writeHead(status, header)
	_, err := w.writer.Write(body)
	w.complete = err == nil
	return Error.Wrap(err)
}

// Begin implements forward.Caller.
func (w *responseWriter) Begin(status int, header http.Header) error {
	w.output.beginStream()
	w.writeHead(status, header)
	return w.flush()
}

// Event implements forward.Caller.
func (w *responseWriter) Event(data []byte) error {
	if _, err := w.writer.Write(data); err != nil {
		return Error.Wrap(err)
	}
	return w.flush()
}

// flush sends what was written. It does not wait for a slow caller.
func (w *responseWriter) flush() error {
	if err := http.NewResponseController(w.writer).Flush(); err != nil {
		return Error.Wrap(err)
	}
	return w.output.pass()
}

// refusalBody is the body of a response that this host creates itself.
type refusalBody struct {
	Kind     model.Kind     `json:"kind"`
	Reason   model.Reason   `json:"reason"`
	Executed model.Executed `json:"executed"`
	Message  string         `json:"message"`
	Remedy   string         `json:"remedy"`
}

// Refuse implements forward.Caller.
func (w *responseWriter) Refuse(fault *model.Fault) error {
	body, err := json.Marshal(refusalBody{Kind: fault.Kind, Reason: fault.Reason, Executed: fault.Executed, Message: fault.Message, Remedy: fault.Remedy})
	if err != nil {
		return Error.Wrap(err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if fault.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(fault.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return w.Answer(statusOf(fault), header, body)
}
