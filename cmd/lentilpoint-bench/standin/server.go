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

// Run is one request that a server started to run.
type Run struct {
	Server  string
	Request string
	Body    string
	Header  http.Header
}

// Server is the task of a stand-in backend server of the relay: an engine that streams
// Events events, or a plain service if Events is 0.
type Server struct {
	ServerOptions

	messages task.Mailbox[func(*Server)]
	endpoint *endpoint
	// proxyAddress is the address of a proxy in front of the server, or "".
	proxyAddress string
	// id identifies one start of the server.
	id         string
	startCount int
	faults     ServerFaults
	runs       []Run
	// lastEvents holds the number of the last event sent of each running stream, by
	// request id.
	lastEvents   map[string]int
	openRequests int
	// prompts holds the ids of the prompt parts read since the last start.
	prompts map[string]bool
	// copies holds the ids of requests of whose cache this server has a copy.
	copies map[string]bool
}

// ServerOptions holds the properties of a stand-in server.
type ServerOptions struct {
	// Name is the prefix of the id of each start.
	Name    string
	Service string
	Zone    string
	Version string
	// Events is the number of events of each stream; 0 makes a plain service.
	Events int
	// EventTime is the pause before each event.
	EventTime time.Duration
	// PromptTime is the additional pause before the first event of an attempt that
	// does not use a copy of a cache.
	PromptTime time.Duration
}

// StartServer starts a stand-in server on a loopback address and registers it in the
// store as ready.
func StartServer(ctx context.Context, options ServerOptions, store *Store) (*Server, error) {
	s := &Server{ServerOptions: options, messages: task.NewMailbox[func(*Server)](1024), lastEvents: map[string]int{}, copies: map[string]bool{}, prompts: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReport, s.serveReport)
	mux.HandleFunc("GET "+platform.PathCacheList, s.serveCacheList)
	mux.HandleFunc("POST "+platform.PathCacheMove, s.serveCacheMove)
	mux.HandleFunc("POST "+copyPath+"{request}", s.serveReceiveCopy)
	mux.HandleFunc("/", s.serveRequest)
	endpoint, err := newEndpoint(mux)
	if err != nil {
		return nil, err
	}
	s.endpoint = endpoint
	s.resetForStart()
	go serveTask(ctx, s, endpoint.close)
	return s, s.Register(store, "ready")
}

func (s *Server) mailbox() task.Mailbox[func(*Server)] { return s.messages }

// Address returns the server's address; it stays the same after a restart.
func (s *Server) Address() string { return s.endpoint.address }

// SetProxyAddress sets the address of a proxy in front of the server, which the next
// registration uses instead of the server's own.
func (s *Server) SetProxyAddress(address string) {
	callWithTimeout(s, func(s *Server) bool { s.proxyAddress = address; return true })
}

// ID returns the id of the current start.
func (s *Server) ID() string { return callWithTimeout(s, func(s *Server) string { return s.id }) }

// Runs returns the requests that the server started to run, oldest first, including
// those of earlier starts.
func (s *Server) Runs() []Run {
	return callWithTimeout(s, func(s *Server) []Run { return append([]Run(nil), s.runs...) })
}

// OpenRequests returns the number of requests that are running.
func (s *Server) OpenRequests() int {
	return callWithTimeout(s, func(s *Server) int { return s.openRequests })
}

// SetFaults replaces the faults in effect.
func (s *Server) SetFaults(faults ServerFaults) {
	callWithTimeout(s, func(s *Server) bool { s.faults = faults; return true })
}

// SetEventTime changes the pause before each event.
func (s *Server) SetEventTime(pause time.Duration) {
	callWithTimeout(s, func(s *Server) bool { s.EventTime = pause; return true })
}

// Crash closes the socket and all connections, as if the process were killed.
func (s *Server) Crash() {
	callWithTimeout(s, func(s *Server) bool { s.endpoint.close(); return true })
}

// Pause makes the server silent for a time: it neither reads nor writes, on open and on
// new connections, and then continues. Nothing is lost.
func (s *Server) Pause(duration time.Duration) {
	callWithTimeout(s, func(s *Server) bool { s.endpoint.pause(time.Now().Add(duration)); return true })
}

// Running reports whether the server has been started and has not crashed since.
func (s *Server) Running() bool {
	return callWithTimeout(s, func(s *Server) bool { return s.endpoint.server != nil })
}

// Restart starts the server again at the same address, with a new id and without
// caches. The server must have crashed before. It does not write a registration.
func (s *Server) Restart() error {
	return callWithTimeout(s, func(s *Server) error { s.resetForStart(); return s.endpoint.open() })
}

// RestartSameID starts the server again at the same address under the id that it had.
func (s *Server) RestartSameID() error {
	return callWithTimeout(s, func(s *Server) error { s.startCount--; s.resetForStart(); return s.endpoint.open() })
}

// resetForStart sets the id of a new start and drops the state of the one before.
func (s *Server) resetForStart() {
	s.startCount++
	s.id = fmt.Sprintf("%s-%d", s.Name, s.startCount)
	s.lastEvents, s.copies, s.prompts = map[string]int{}, map[string]bool{}, map[string]bool{}
}

// Register writes the registration of the current start, with its state, to the store.
func (s *Server) Register(store *Store, state string) error {
	id := s.ID()
	address := callWithTimeout(s, func(s *Server) string { return cmp.Or(s.proxyAddress, s.endpoint.address) })
	return store.Put(platform.TableServers, id, map[string]any{
		"service": s.Service, "address": address, "zone": s.Zone, "version": s.Version, "slots": 8,
		"state": state, "cold_remaining_ms": 0, "call_seq": 0, "born": time.Now().UnixMilli(),
	})
}

func (s *Server) serveReport(w http.ResponseWriter, r *http.Request) {
	if s.Events == 0 {
		http.NotFound(w, nil)
		return
	}
	if !sleep(r.Context(), callWithTimeout(s, func(s *Server) time.Duration { return s.faults.ReportDelay })) {
		return
	}
	var runs []string
	for id, lastEvent := range callWithTimeout(s, func(s *Server) map[string]int {
		lastEvents := make(map[string]int, len(s.lastEvents))
		for id, lastEvent := range s.lastEvents {
			lastEvents[id] = lastEvent
		}
		return lastEvents
	}) {
		runs = append(runs, fmt.Sprintf("[%q,100,%d,5]", id, lastEvent))
	}
	_, _ = fmt.Fprintf(w, `{"models":[{"name":"m","version":1}],"running":%d,"queued":0,"runs":[%s]}`, len(runs), strings.Join(runs, ","))
}

// serveCacheList lists the prompt parts that were read, each with a length of 100
// tokens.
func (s *Server) serveCacheList(w http.ResponseWriter, _ *http.Request) {
	list := callWithTimeout(s, func(s *Server) [][]any {
		prompts := make([][]any, 0, len(s.prompts))
		for id := range s.prompts {
			prompts = append(prompts, []any{"", id, 100, "m"})
		}
		return prompts
	})
	_ = json.NewEncoder(w).Encode(map[string]any{"epoch": 1, "next": 1, "held": list})
}

// copyPath is the path by which stand-in engines send copies of caches to each other.
// Real engines transfer them by their own protocol.
const copyPath = "/stand-in/copies/"

// serveCacheMove copies the cache of a run to another engine. The name of the copy has
// the id of the request, so that it shows whose cache it is.
func (s *Server) serveCacheMove(w http.ResponseWriter, r *http.Request) {
	var move struct {
		ID     string `json:"id"`
		Target string `json:"target"`
	}
	if err := json.NewDecoder(r.Body).Decode(&move); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if lastEvent := callWithTimeout(s, func(s *Server) int { return s.lastEvents[move.ID] }); lastEvent == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	response, err := http.Post("http://"+move.Target+copyPath+move.ID, "", nil)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = response.Body.Close()
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "copy-" + move.ID, "create_rev": 1})
}

func (s *Server) serveReceiveCopy(_ http.ResponseWriter, r *http.Request) {
	s.AddCacheCopy(r.PathValue("request"))
}

// serverSnapshot is the state of a server when a request arrives.
type serverSnapshot struct {
	id     string
	faults ServerFaults
	// hasCopy reports whether the server has a copy of the cache of this request.
	hasCopy bool
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	snapshot := callWithTimeout(s, func(s *Server) serverSnapshot {
		return serverSnapshot{id: s.id, faults: s.faults, hasCopy: s.copies[request]}
	})
	if snapshot.faults.Leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	wantsCopy := r.Header.Get(platform.HeaderCacheCopy) != ""
	switch {
	case r.Header.Get(platform.HeaderInstance) != snapshot.id:
		w.Header().Set(platform.HeaderServer, snapshot.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case snapshot.faults.Refuse, wantsCopy && !snapshot.hasCopy:
		if snapshot.faults.RepeatRefusal {
			s.writeRefusalTwice(w, request, snapshot.faults.AnonymousRefusal)
			return
		}
		if snapshot.faults.RetryAfter != "" {
			w.Header().Set("Retry-After", snapshot.faults.RetryAfter)
		}
		w.Header().Set(platform.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.recordRun(r, string(body))
	defer s.recordRunEnd()
	if snapshot.faults.CrashOn != "" && snapshot.faults.CrashOn == string(body) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSeal, "seal."+snapshot.id)
	if snapshot.faults.UntilClose {
		// net/http then neither states a length nor uses chunks, and closes the
		// connection after the answer.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if s.Events > 0 {
		s.serveStream(w, r, streamRequest{id: request, body: string(body), faults: snapshot.faults, fromCopy: wantsCopy})
		return
	}
	s.servePlain(w, snapshot.faults, string(body))
}

// recordRun records that the server starts to run a request, and recordRunEnd that it
// has ended.
func (s *Server) recordRun(r *http.Request, body string) {
	callWithTimeout(s, func(s *Server) bool {
		s.openRequests++
		for _, part := range strings.Split(r.Header.Get(platform.HeaderPrompt), ",") {
			if id, _, found := strings.Cut(part, ":"); found {
				s.prompts[id] = true
			}
		}
		s.runs = append(s.runs, Run{Server: s.id, Request: r.Header.Get(platform.HeaderRequestID), Body: body, Header: r.Header.Clone()})
		return true
	})
}

func (s *Server) recordRunEnd() {
	callWithTimeout(s, func(s *Server) bool { s.openRequests--; return true })
}

func (s *Server) servePlain(w http.ResponseWriter, faults ServerFaults, body string) {
	time.Sleep(faults.Slow)
	switch {
	case faults.LoseAnswer:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	}
	answer := "answer to " + body
	if faults.Extra {
		s.writeExtraResponse(w, answer)
		return
	}
	_, _ = io.WriteString(w, answer)
}

// EventData returns the data of an event of the stream for a request body. All engines
// send the same.
func EventData(body string, number int) string { return fmt.Sprintf("%s/%d", body, number) }

// streamRequest is a request for a stream.
type streamRequest struct {
	// id is the id of the request.
	id     string
	body   string
	faults ServerFaults
	// fromCopy reports whether the stream continues from a copy of a cache.
	fromCopy bool
}

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, request streamRequest) {
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEvent))
	faults := request.faults
	if !request.fromCopy && !sleep(r.Context(), s.PromptTime) {
		return
	}
	if faults.CrashOnPart != "" && hasSharedPart(r.Header.Get(platform.HeaderPrompt), faults.CrashOnPart) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if page := faults.PageOnResume; page.Status != 0 && last > 0 {
		w.Header().Set("Content-Type", page.ContentType)
		w.WriteHeader(page.Status)
		_, _ = io.WriteString(w, page.Body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	defer func() {
		callWithTimeout(s, func(s *Server) bool { delete(s.lastEvents, request.id); return true })
	}()
	if faults.Unframed {
		var end func()
		if w, end = startUnframed(w); w == nil {
			return
		}
		defer end()
	}
	for number := last + 1; number <= s.Events; number++ {
		sent := number - last - 1
		switch {
		case faults.CutAfter > 0 && sent >= faults.CutAfter:
			panic(http.ErrAbortHandler)
		case faults.EndInEvent > 0 && sent >= faults.EndInEvent:
			_, _ = fmt.Fprintf(w, "id: %d\nda", number)
			return
		case faults.HangAfter > 0 && sent >= faults.HangAfter:
			<-r.Context().Done()
			return
		}
		if !sleep(r.Context(), callWithTimeout(s, func(s *Server) time.Duration { return s.EventTime })) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, EventData(request.body, number))
		_ = http.NewResponseController(w).Flush()
		callWithTimeout(s, func(s *Server) bool { s.lastEvents[request.id] = number; return true })
	}
}

// hasSharedPart reports whether a prompt has a part that is not its last one.
func hasSharedPart(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	for _, entry := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// sleep reports whether the pause has elapsed before the end of the context.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// AddCacheCopy gives the server a copy of the cache of a request that ran on another
// server, so that it accepts a continuation from that copy.
func (s *Server) AddCacheCopy(request string) {
	callWithTimeout(s, func(s *Server) bool { s.copies[request] = true; return true })
}
