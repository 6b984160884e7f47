package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/lentilpoint/lentilpoint/platform"
)

// ServerFaults are the faults of a stand-in server that are in effect.
type ServerFaults struct {
	// Refuse refuses requests with platform.HeaderNotRun, without running them.
	Refuse bool
	// RepeatRefusal writes a refusal once more on its connection, in the place of the
	// answer of the next request, which runs.
	RepeatRefusal bool
	// AnonymousRefusal omits the id of the request in refusals that are repeated.
	AnonymousRefusal bool
	// LoseAnswer runs a plain request and closes the connection without an answer.
	LoseAnswer bool
	// Fail answers plain requests with status 500.
	Fail bool
	// Leaving states in all responses that the server leaves.
	Leaving bool
	// RetryAfter is the Retry-After of refusals; "" is off.
	RetryAfter string
	// Slow delays answers to plain requests.
	Slow time.Duration
	// Extra sends a second response, which belongs to no request, after each answer to
	// a plain request.
	Extra bool
	// CutAfter closes the connection of a stream after this number of events of an
	// attempt; 0 is off.
	CutAfter int
	// CrashOn crashes the server when it starts to run a request with this body; "" is
	// off.
	CrashOn string
	// CrashOnPart crashes an engine when it would send the first event of a request
	// with this part of a prompt that is not the last; "" is off.
	CrashOnPart string
	// Unframed sends streams without a length and without chunks, so that they end
	// with the connection.
	Unframed bool
	// EndInEvent ends a stream in the middle of the event after this number of
	// events of an attempt; 0 is off.
	EndInEvent int
	// PageOnResume is the response to a stream that is resumed, in the place of its
	// events; a status of 0 is off.
	PageOnResume Page
	// HangAfter sends nothing more on a stream after this number of events of an
	// attempt; 0 is off.
	HangAfter int
	// UntilClose sends answers with neither a length nor chunks; they end with their
	// connection.
	UntilClose bool
	// ReportDelay is how long each report takes.
	ReportDelay time.Duration
}

// Page is a response that is no stream.
type Page struct {
	Status      int
	ContentType string
	Body        string
}

// writeRefusalTwice refuses a request, starts to run the next one on the connection,
// and writes the refusal of the first one in the place of its answer.
func (s *Server) writeRefusalTwice(w http.ResponseWriter, request string, anonymous bool) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n", platform.HeaderNotRun)
	if !anonymous {
		refusal += fmt.Sprintf("%s: %s\r\n", platform.HeaderRequestID, request)
	}
	if _, err := io.WriteString(conn, refusal+"\r\n"); err != nil {
		return
	}
	next, err := http.ReadRequest(buffer.Reader)
	if err != nil {
		return
	}
	body, err := io.ReadAll(next.Body)
	if err != nil {
		return
	}
	s.recordRun(next, string(body))
	defer s.recordRunEnd()
	_, _ = io.WriteString(conn, refusal+"\r\n")
	// The run goes on until the relay closes the connection.
	_, _ = buffer.ReadByte()
}

// writeExtraResponse writes a complete response and then a second one that belongs to
// no request.
func (s *Server) writeExtraResponse(w http.ResponseWriter, answer string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: x\r\nContent-Length: %d\r\n", platform.HeaderSeal, len(answer))
	_, _ = fmt.Fprintf(buffer, "%s%s: %s\r\n\r\n%s", head, platform.HeaderRequestID, w.Header().Get(platform.HeaderRequestID), answer)
	_, _ = fmt.Fprintf(buffer, "%s%s: other\r\n\r\n%s", head, platform.HeaderRequestID, answer)
	_ = buffer.Flush()
	// The connection stays open, so that only the extra bytes show the fault.
	time.Sleep(time.Second)
}

// unframedWriter writes the body of an answer to a connection as it is.
type unframedWriter struct {
	http.ResponseWriter
	conn net.Conn
}

// Write implements io.Writer.
func (w unframedWriter) Write(data []byte) (int, error) { return w.conn.Write(data) }

// Flush implements http.Flusher; all data has been sent.
func (w unframedWriter) Flush() {}

// startUnframed sends the head of an answer that has neither a length nor chunks. The
// returned function ends the answer by closing the connection.
func startUnframed(w http.ResponseWriter) (http.ResponseWriter, func()) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil
	}
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name := range w.Header() {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	return unframedWriter{ResponseWriter: w, conn: conn}, func() { _ = conn.Close() }
}
