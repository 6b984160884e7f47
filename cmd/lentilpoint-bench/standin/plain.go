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

// Execution is one call that the plain service carried out.
type Execution struct {
	Server string
	Method string
	Path   string
	// Order is the order number in the header X-Order-Id, by which checkers
	// tell requests apart.
	Order string
	At    time.Time
}

// HeaderOrder names the order in calls of the experiments.
const HeaderOrder = "X-Order-Id"

// PlainFaults are the faults of a plain service that are in effect.
type PlainFaults struct {
	// Delay is the time of each call.
	Delay time.Duration
	// DieBefore kills the server when a call arrives, before it takes effect.
	DieBefore bool
	// DieAfter kills the server after a call took effect, before its answer.
	DieAfter bool
	// Hang keeps each call without an answer until its connection ends.
	Hang bool
	// CutAnswer closes the connection in the middle of each answer.
	CutAnswer bool
	// Padding is added to the answer, in bytes.
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
	// A plain service has no cache; a poll for it must not count as a call.
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, http.NotFound)
	mux.HandleFunc("/", p.serveCall)
	endpoint, err := newEndpoint(mux)
	if err != nil {
		return nil, err
	}
	p.endpoint = endpoint
	go serveSteps(ctx, p, endpoint.cut)
	return p, nil
}

// ID returns the server's id in the host list.
func (p *Plain) ID() string { return p.id }

// Address returns the server's address; it stays the same after a restart.
func (p *Plain) Address() string { return p.endpoint.address }

func (p *Plain) steps() task.Mailbox[func(*Plain)] { return p.messages }

// SetFaults replaces the faults in effect.
func (p *Plain) SetFaults(faults PlainFaults) {
	control(p, func(p *Plain) bool { p.faults = faults; return true })
}

// Die cuts all connections.
func (p *Plain) Die() {
	control(p, func(p *Plain) bool { p.endpoint.cut(); return true })
}

// Revive starts the server again after it died.
func (p *Plain) Revive() {
	control(p, func(p *Plain) bool { return p.endpoint.server != nil || p.endpoint.open() == nil })
}

// Silence makes the open connections silent for good; new ones work.
func (p *Plain) Silence() {
	control(p, func(p *Plain) bool { p.endpoint.silence(); return true })
}

// Executions returns the calls that took effect.
func (p *Plain) Executions() []Execution {
	return control(p, func(p *Plain) []Execution { return append([]Execution(nil), p.executions...) })
}

func (p *Plain) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeAnswer(w, enginewire.LoadReport{Versions: []string{p.version}, Capacity: 256, Incarnation: 1}, nil)
}

// plainAnswer is the answer of a call that took effect.
type plainAnswer struct {
	Server string `json:"server"`
	Order  string `json:"order,omitempty"`
	Bytes  int    `json:"bytes"`
	// Number counts the executions of the server, so that no two answers are equal.
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
	number := control(p, func(p *Plain) int { p.executions = append(p.executions, execution); return len(p.executions) })
	if faults.DieAfter {
		p.dieOnce()
		return
	}
	w.Header().Set("X-Served-By", p.id)
	if faults.CutAnswer {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"server":"`))
		// Without the flush the head of the answer would be lost too.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, plainAnswer{
		Server: p.id, Order: execution.Order, Bytes: len(content), Number: number, Padding: strings.Repeat("x", faults.Padding),
	}, nil)
}

// dieOnce cuts all connections and clears the fault, so that a restart works.
func (p *Plain) dieOnce() {
	control(p, func(p *Plain) bool {
		p.faults.DieBefore, p.faults.DieAfter = false, false
		p.endpoint.cut()
		return true
	})
}
