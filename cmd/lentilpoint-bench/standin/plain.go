package standin

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

// Execution is one request that took effect on a plain service.
type Execution struct {
	Server string
	Method string
	Path   string
	// Order is the value of HeaderOrder.
	Order string
	At    time.Time
}

// HeaderOrder is the request header with the order number, by which the checks of
// experiments identify a request.
const HeaderOrder = "X-Order-Id"

// PlainFaults are the faults of a plain service that are in effect.
type PlainFaults struct {
	// Delay is how long each request takes.
	Delay time.Duration
	// DieBefore stops the server, as Die does, when a request arrives, before it takes
	// effect. The fault ends with it.
	DieBefore bool
	// DieAfter stops the server after a request has taken effect, before the answer.
	// The fault ends with it.
	DieAfter bool
	// Hang leaves each request without effect and answer until its connection ends.
	Hang bool
	// CutAnswer closes the connection in the middle of each answer.
	CutAnswer bool
	// Padding is the number of bytes added to each answer.
	Padding int
}

// Plain is the task of a stand-in plain service.
type Plain struct {
	id       string
	version  string
	messages task.Mailbox[func(*Plain)]
	endpoint *endpoint

	executions []Execution
	faults     PlainFaults
}

// StartPlain starts a stand-in plain service on a loopback address.
func StartPlain(ctx context.Context, id, version string) (*Plain, error) {
	p := &Plain{id: id, version: version, messages: task.NewMailbox[func(*Plain)](1024)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+enginewire.PathLoad, p.serveLoad)
	// A plain service has no cache. Without this route, a poll of cache events would
	// be recorded as an execution.
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, http.NotFound)
	mux.HandleFunc("/", p.serveCall)
	endpoint, err := newEndpoint(mux)
	if err != nil {
		return nil, err
	}
	p.endpoint = endpoint
	go serveTask(ctx, p, endpoint.close)
	return p, nil
}

// ID returns the server's id in the host list.
func (p *Plain) ID() string { return p.id }

// Address returns the server's address; it stays the same after a restart.
func (p *Plain) Address() string { return p.endpoint.address }

func (p *Plain) mailbox() task.Mailbox[func(*Plain)] { return p.messages }

// SetFaults replaces the faults in effect.
func (p *Plain) SetFaults(faults PlainFaults) {
	callWithTimeout(p, func(p *Plain) bool { p.faults = faults; return true })
}

// Die closes the socket and all connections, as if the process were killed.
func (p *Plain) Die() {
	callWithTimeout(p, func(p *Plain) bool { p.endpoint.close(); return true })
}

// Revive starts the server again at the same address. It has no effect on a running
// server.
func (p *Plain) Revive() {
	callWithTimeout(p, func(p *Plain) bool { return p.endpoint.server != nil || p.endpoint.open() == nil })
}

// Silence discards all further data on the open connections without closing them.
// New connections work.
func (p *Plain) Silence() {
	callWithTimeout(p, func(p *Plain) bool { p.endpoint.silence(); return true })
}

// Executions returns the requests that took effect, oldest first.
func (p *Plain) Executions() []Execution {
	return callWithTimeout(p, func(p *Plain) []Execution { return append([]Execution(nil), p.executions...) })
}

func (p *Plain) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, enginewire.LoadReport{Versions: []string{p.version}, Capacity: 256, Incarnation: 1}, nil)
}

// plainAnswer is the answer to a request that took effect.
type plainAnswer struct {
	Server string `json:"server"`
	Order  string `json:"order,omitempty"`
	Bytes  int    `json:"bytes"`
	// Number is the number of executions of the server so far, so that no two of its
	// answers are equal.
	Number  int    `json:"number"`
	Padding string `json:"padding,omitempty"`
}

func (p *Plain) serveCall(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	faults, err := call(r.Context(), p, func(p *Plain) PlainFaults { return p.faults })
	if err != nil {
		return
	}
	if faults.DieBefore {
		p.dieOnce()
		return
	}
	if faults.Hang {
		<-r.Context().Done()
		return
	}
	time.Sleep(faults.Delay)
	execution := Execution{Server: p.id, Method: r.Method, Path: r.URL.Path, Order: r.Header.Get(HeaderOrder), At: time.Now()}
	number := callWithTimeout(p, func(p *Plain) int { p.executions = append(p.executions, execution); return len(p.executions) })
	if faults.DieAfter {
		p.dieOnce()
		return
	}
	w.Header().Set("X-Served-By", p.id)
	if faults.CutAnswer {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"server":"`))
		// Without the flush, the status and headers would not be sent either.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, plainAnswer{
		Server: p.id, Order: execution.Order, Bytes: len(content), Number: number, Padding: strings.Repeat("x", faults.Padding),
	}, nil)
}

// dieOnce closes the socket and all connections and ends DieBefore and DieAfter, so
// that the server works after a restart.
func (p *Plain) dieOnce() {
	callWithTimeout(p, func(p *Plain) bool {
		p.faults.DieBefore, p.faults.DieAfter = false, false
		p.endpoint.close()
		return true
	})
}
