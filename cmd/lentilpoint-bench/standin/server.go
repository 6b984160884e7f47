package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

// ServerFaults are the faults of a stand-in server that are in effect.
type ServerFaults struct {
	// Refuse states that the request did not run.
	Refuse bool
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer bool
	// Fail answers with a failure of the server's own.
	Fail bool
	// Extra sends bytes that belong to no request after each answer.
	Extra bool
	// CutAfter breaks a stream off after that many events of an attempt; 0 is off.
	CutAfter int
	// CrashOn ends the server when it begins to run a request with this body; "" is off.
	CrashOn string
	// HangAfter sends nothing more after that many events; 0 is off.
	HangAfter int
}

// Run is one request that a server began to work on.
type Run struct {
	Server  string
	Request string
	Body    string
	Header  http.Header
}

// Server is the task of a stand-in server of the users' platform: an engine
// that streams Events events, or a plain service if Events is 0.
type Server struct {
	ServerShape

	messages task.Mailbox[func(*Server)]
	endpoint *endpoint
	// through is the address of a proxy in front of the server, or "".
	through string
	id      string
	starts  int
	faults  ServerFaults
	runs    []Run
	made    map[string]int
	open    int
	// prompts are the parts of prompts that this start has read.
	prompts map[string]bool
	// copies are the ids of runs whose cache this server holds a copy of.
	copies map[string]bool
}

// ServerShape is what a server is.
type ServerShape struct {
	Name    string
	Service string
	Zone    string
	Version string
	// Events is the length of each stream, EventTime the pause before each event
	// and PromptTime that before the first one without a copy of the cache.
	Events     int
	EventTime  time.Duration
	PromptTime time.Duration
}

// StartServer starts a stand-in server and registers it in the store.
func StartServer(ctx context.Context, shape ServerShape, store *Store) (*Server, error) {
	s := &Server{ServerShape: shape, messages: task.NewMailbox[func(*Server)](1024), made: map[string]int{}, copies: map[string]bool{}, prompts: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReport, s.serveReport)
	mux.HandleFunc("GET "+platform.PathCacheList, s.serveCacheList)
	mux.HandleFunc("POST "+platform.PathCacheMove, s.serveCacheMove)
	mux.HandleFunc("POST "+takeCopyPath+"{request}", s.serveTakeCopy)
	mux.HandleFunc("/", s.serveRequest)
	endpoint, err := newEndpoint(mux)
	if err != nil {
		return nil, err
	}
	s.endpoint = endpoint
	s.restarted()
	go serveSteps(ctx, s, endpoint.cut)
	return s, s.Register(store, "ready")
}

func (s *Server) steps() task.Mailbox[func(*Server)] { return s.messages }

// Address returns the server's address; it stays the same after a restart.
func (s *Server) Address() string { return s.endpoint.address }

// Through makes the server register the address of a proxy in front of it.
func (s *Server) Through(address string) {
	control(s, func(s *Server) bool { s.through = address; return true })
}

// ID returns the id of the present start.
func (s *Server) ID() string { return control(s, func(s *Server) string { return s.id }) }

// Runs returns the requests that the server began to work on.
func (s *Server) Runs() []Run {
	return control(s, func(s *Server) []Run { return append([]Run(nil), s.runs...) })
}

// Open returns the number of requests that the server works on.
func (s *Server) Open() int { return control(s, func(s *Server) int { return s.open }) }

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(faults ServerFaults) {
	control(s, func(s *Server) bool { s.faults = faults; return true })
}

// SetEventTime changes the pause before each event.
func (s *Server) SetEventTime(pause time.Duration) {
	control(s, func(s *Server) bool { s.EventTime = pause; return true })
}

// Crash closes the socket and all connections.
func (s *Server) Crash() { control(s, func(s *Server) bool { s.endpoint.cut(); return true }) }

// Running reports whether the server listens.
func (s *Server) Running() bool {
	return control(s, func(s *Server) bool { return s.endpoint.server != nil })
}

// Restart starts the server again at its address under another id.
func (s *Server) Restart() error {
	return control(s, func(s *Server) error { s.restarted(); return s.endpoint.open() })
}

func (s *Server) restarted() {
	s.starts++
	s.id = fmt.Sprintf("%s-%d", s.Name, s.starts)
	s.made, s.copies, s.prompts = map[string]int{}, map[string]bool{}, map[string]bool{}
}

// Register writes the registration of the present start.
func (s *Server) Register(store *Store, state string) error {
	id := s.ID()
	address := control(s, func(s *Server) string { return cmp.Or(s.through, s.endpoint.address) })
	return store.Put(platform.TableServers, id, map[string]any{
		"service": s.Service, "address": address, "zone": s.Zone, "version": s.Version, "slots": 8,
		"state": state, "cold_remaining_ms": 0, "call_seq": 0, "born": time.Now().UnixMilli(),
	})
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	if s.Events == 0 {
		http.NotFound(w, nil)
		return
	}
	var runs []string
	for id, made := range control(s, func(s *Server) map[string]int {
		copied := make(map[string]int, len(s.made))
		for id, made := range s.made {
			copied[id] = made
		}
		return copied
	}) {
		runs = append(runs, fmt.Sprintf("[%q,100,%d,5]", id, made))
	}
	_, _ = fmt.Fprintf(w, `{"models":[{"name":"m","version":1}],"running":%d,"queued":0,"runs":[%s]}`, len(runs), strings.Join(runs, ","))
}

// serveCacheList lists the prompts that were read, with a length of 100 tokens.
func (s *Server) serveCacheList(w http.ResponseWriter, _ *http.Request) {
	held := control(s, func(s *Server) [][]any {
		list := make([][]any, 0, len(s.prompts))
		for id := range s.prompts {
			list = append(list, []any{"", id, 100, "m"})
		}
		return list
	})
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": held})
}

// takeCopyPath is where stand-in engines hand copies of caches to each other,
// which engines do by means of their own.
const takeCopyPath = "/stand-in/copies/"

// serveCacheMove copies the cache of a run to another engine. The copy is named
// by the request, so that the name shows whose cache it is.
func (s *Server) serveCacheMove(w http.ResponseWriter, r *http.Request) {
	var order struct {
		ID     string `json:"id"`
		Target string `json:"target"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if made := control(s, func(s *Server) int { return s.made[order.ID] }); made == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	response, err := http.Post("http://"+order.Target+takeCopyPath+order.ID, "", nil)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = response.Body.Close()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "copy-" + order.ID, "create_rev": 1})
}

func (s *Server) serveTakeCopy(_ http.ResponseWriter, r *http.Request) {
	s.HoldCopy(r.PathValue("request"))
}

// admission is how a server receives a request.
type admission struct {
	id     string
	faults ServerFaults
	copied bool
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	entry := control(s, func(s *Server) admission {
		return admission{id: s.id, faults: s.faults, copied: s.copies[request]}
	})
	wantsCopy := r.Header.Get(platform.HeaderCacheCopy) != ""
	switch {
	case r.Header.Get(platform.HeaderInstance) != entry.id:
		w.Header().Set(platform.HeaderServer, entry.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case entry.faults.Refuse, wantsCopy && !entry.copied:
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	control(s, func(s *Server) bool {
		s.open++
		for _, part := range strings.Split(r.Header.Get(platform.HeaderPrompt), ",") {
			if id, _, found := strings.Cut(part, ":"); found {
				s.prompts[id] = true
			}
		}
		s.runs = append(s.runs, Run{Server: s.id, Request: request, Body: string(body), Header: r.Header.Clone()})
		return true
	})
	defer func() { control(s, func(s *Server) bool { s.open--; return true }) }()
	if entry.faults.CrashOn != "" && entry.faults.CrashOn == string(body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSeal, "seal."+entry.id)
	if s.Events > 0 {
		s.stream(w, r, streamOrder{request: request, body: string(body), faults: entry.faults, copied: wantsCopy})
		return
	}
	s.plain(w, entry.faults, string(body))
}

func (s *Server) plain(w http.ResponseWriter, faults ServerFaults, body string) {
	switch {
	case faults.LoseAnswer:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	}
	answer := "answer to " + body
	if faults.Extra {
		s.sendExtra(w, answer)
		return
	}
	_, _ = io.WriteString(w, answer)
}

// sendExtra writes a whole answer and then a second one that nobody asked for.
func (s *Server) sendExtra(w http.ResponseWriter, answer string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: x\r\nContent-Length: %d\r\n", platform.HeaderSeal, len(answer))
	_, _ = fmt.Fprintf(buffer, "%s%s: %s\r\n\r\n%s", head, platform.HeaderRequestID, w.Header().Get(platform.HeaderRequestID), answer)
	_, _ = fmt.Fprintf(buffer, "%s%s: other\r\n\r\n%s", head, platform.HeaderRequestID, answer)
	_ = buffer.Flush()
	// The connection stays open, so that only the surplus bytes give it away.
	time.Sleep(time.Second)
}

// EventData returns the data of an event of a request; all engines make the same.
func EventData(body string, number int) string { return fmt.Sprintf("%s/%d", body, number) }

// streamOrder is one stream to serve.
type streamOrder struct {
	request string
	body    string
	faults  ServerFaults
	copied  bool
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, order streamOrder) {
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	faults := order.faults
	if !order.copied && !sleepFor(r.Context(), s.PromptTime) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	defer func() { control(s, func(s *Server) bool { delete(s.made, order.request); return true }) }()
	for number := last + 1; number <= s.Events; number++ {
		sent := number - last - 1
		switch {
		case faults.CutAfter > 0 && sent >= faults.CutAfter:
			panic(http.ErrAbortHandler)
		case faults.HangAfter > 0 && sent >= faults.HangAfter:
			<-r.Context().Done()
			return
		}
		if !sleepFor(r.Context(), control(s, func(s *Server) time.Duration { return s.EventTime })) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, EventData(order.body, number))
		_ = http.NewResponseController(w).Flush()
		control(s, func(s *Server) bool { s.made[order.request] = number; return true })
	}
}

func sleepFor(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// HoldCopy lets the server go on with a run of another server from a copy.
func (s *Server) HoldCopy(request string) {
	control(s, func(s *Server) bool { s.copies[request] = true; return true })
}
