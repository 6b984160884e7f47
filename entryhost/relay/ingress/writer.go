package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/lentilpoint/lentilpoint/model"
)

// answerWriter writes the answer to one caller. Only the request's task uses it.
type answerWriter struct {
	writer   http.ResponseWriter
	draining <-chan struct{}
}

func (w *answerWriter) head(status int, header http.Header) {
	target := w.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	if closed(w.draining) {
		target.Set("Connection", "close")
	}
	w.writer.WriteHeader(status)
}

// Answer implements forward.Caller.
func (w *answerWriter) Answer(status int, header http.Header, body []byte) error {
	if status != http.StatusNoContent && status != http.StatusNotModified && header.Get("Content-Length") == "" {
		header = header.Clone()
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.head(status, header)
	_, err := w.writer.Write(body)
	return Error.Wrap(err)
}

// Begin implements forward.Caller.
func (w *answerWriter) Begin(status int, header http.Header) error {
	w.head(status, header)
	return Error.Wrap(http.NewResponseController(w.writer).Flush())
}

// Event implements forward.Caller.
func (w *answerWriter) Event(data []byte) error {
	if _, err := w.writer.Write(data); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(http.NewResponseController(w.writer).Flush())
}

// refusal is the body of an answer of this host's own.
type refusal struct {
	Kind     model.Kind     `json:"kind"`
	Reason   model.Reason   `json:"reason"`
	Executed model.Executed `json:"executed"`
	Message  string         `json:"message"`
	Remedy   string         `json:"remedy"`
}

// Refuse implements forward.Caller.
func (w *answerWriter) Refuse(fault *model.Fault) error {
	body, err := json.Marshal(refusal{Kind: fault.Kind, Reason: fault.Reason, Executed: fault.Executed, Message: fault.Message, Remedy: fault.Remedy})
	if err != nil {
		return Error.Wrap(err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if fault.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(fault.RetryAfter.Seconds(), 'f', -1, 64))
	}
	return w.Answer(statusOf(fault), header, body)
}
