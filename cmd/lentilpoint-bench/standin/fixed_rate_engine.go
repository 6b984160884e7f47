package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
)

// FixedRateEngine is an engine that sends tokens at a fixed rate with as little work
// as possible, to measure the latency that an entry host adds. The text of each token
// is the time at which it was sent, in Unix nanoseconds.
type FixedRateEngine struct {
	endpoint *endpoint
	version  string
	interval time.Duration
}

// StartFixedRateEngine starts an engine on a loopback address that serves the version
// and sends one token per interval to each stream.
func StartFixedRateEngine(version string, interval time.Duration) (*FixedRateEngine, error) {
	engine := &FixedRateEngine{version: version, interval: interval}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathCompletions, engine.serveStream)
	mux.HandleFunc("GET "+enginewire.PathLoad, engine.serveLoad)
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, engine.serveCacheEvents)
	endpoint, err := newEndpoint(mux)
	engine.endpoint = endpoint
	return engine, err
}

// Address returns the engine's address.
func (e *FixedRateEngine) Address() string { return e.endpoint.address }

// Close closes the socket and all connections.
func (e *FixedRateEngine) Close() { e.endpoint.close() }

func (e *FixedRateEngine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, enginewire.LoadReport{Versions: []string{e.version}, Capacity: 1 << 20, Incarnation: 1}, nil)
}

func (e *FixedRateEngine) serveCacheEvents(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, enginewire.CacheEvents{Incarnation: 1}, nil)
}

func (e *FixedRateEngine) serveStream(w http.ResponseWriter, r *http.Request) {
	var body enginewire.Generation
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	flusher, _ := w.(http.Flusher)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(enginewire.HeaderStreamID, "source-1")
	w.WriteHeader(http.StatusOK)
	writeChunk(w, enginewire.Choice{PromptTokenIDs: []enginewire.TokenID{1, 2, 3}})
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	event := make([]byte, 0, 256)
	for i := range body.MaxTokens {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
		event = appendTimestampedToken(event[:0], i, body.MaxTokens)
		_, _ = w.Write(event)
		flusher.Flush()
	}
}

// appendTimestampedToken appends the event of one token, and the end of the stream if
// it is the last of limit tokens.
func appendTimestampedToken(event []byte, index, limit int) []byte {
	event = append(event, `data: {"choices":[{"index":0,"text":"`...)
	event = strconv.AppendInt(event, time.Now().UnixNano(), 10)
	event = append(event, `","token_ids":[`...)
	event = strconv.AppendInt(event, int64(index%vocabularySize), 10)
	event = append(event, ']')
	if index+1 == limit {
		return append(event, `,"finish_reason":"length"}]}`+"\n\ndata: "+enginewire.StreamEnd+"\n\n"...)
	}
	return append(event, "}]}\n\n"...)
}
