package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runs are the requests that one engine runs, with the events made so far.
type runs struct {
	mutex sync.Mutex
	made  map[string]int
}

func newRuns() *runs { return &runs{made: map[string]int{}} }

func (r *runs) set(id string, events int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.made[id] = events
}

func (r *runs) end(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.made, id)
}

// report answers GET /-/report.
func (r *runs) report(writer http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entries := []any{}
	for id, events := range r.made {
		entries = append(entries, []any{id, 5200, events, 5})
	}
	reply(writer, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "call_seq": 1, "queued": 0,
		"running": len(entries), "kv_used": 5200 * len(entries), "kv_total": 55000, "handles": 0, "runs": entries,
	})
}

// streamEvents is the number of events of a stream of the stand-in engines.
const streamEvents = 60

// stream reads the prompt for a time and sends the events after Last-Event-Id.
func stream(known *runs, server *server, writer http.ResponseWriter, request *http.Request, prompt, pace time.Duration) {
	id := request.Header.Get("X-Lentilpoint-Attempt-Id")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	select {
	case <-time.After(prompt):
	case <-request.Context().Done():
		return
	}
	defer known.end(id)
	writer.Header().Set("X-Lentilpoint-Response-Seal", "seal."+id)
	writer.Header().Set("X-Lentilpoint-Weight-Versions", "1")
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= streamEvents; event++ {
		known.set(id, event)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: token %d of %s\n\n", event, event, id); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-time.After(pace):
		case <-request.Context().Done():
			return
		}
	}
}

// promptHeader are the headers of a request for a generation.
func promptHeader(parts ...string) http.Header {
	return http.Header{
		"X-Lentilpoint-Model": {"m"}, "X-Lentilpoint-Token-Count": {"5200,650"}, "X-Lentilpoint-Prompt-Prefix": {strings.Join(parts, ",")},
	}
}
