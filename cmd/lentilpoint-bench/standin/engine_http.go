package standin

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathCompletions, e.serveGeneration)
	mux.HandleFunc("POST "+enginewire.PathChatCompletions, e.serveGeneration)
	mux.HandleFunc("GET "+enginewire.PathStreams+"{id}", e.serveResume)
	mux.HandleFunc("GET "+enginewire.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+enginewire.PathOrders, e.serveOrder)
	return mux
}

func (e *Engine) serveGeneration(w http.ResponseWriter, r *http.Request) {
	var body enginewire.Generation
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	output := make(chan streamItem, outputCapacity)
	result, err := task.Call(r.Context(), e.messages, func(reply task.Reply[startResult]) engineMessage {
		return startStream{cancelled: r.Context().Done(), body: body, chat: isChatPath(r.URL.Path), output: output, reply: reply}
	})
	e.writeStream(w, r, result, err, output, isChatPath(r.URL.Path))
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		writeError(w, http.StatusBadRequest, "from must be a whole number")
		return
	}
	output := make(chan streamItem, outputCapacity)
	result, err := task.Call(r.Context(), e.messages, func(reply task.Reply[startResult]) engineMessage {
		return resumeStream{cancelled: r.Context().Done(), stream: r.PathValue("id"), from: from, output: output, reply: reply}
	})
	e.writeStream(w, r, result, err, output, false)
}

// writeStream writes the items of a stream as server-sent events until it ends.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, result startResult, err error, output chan streamItem, chat bool) {
	if err != nil {
		return
	}
	if result.err != "" {
		writeError(w, cmp.Or(result.status, http.StatusNotFound), result.err)
		return
	}
	defer func() { _ = e.messages.TrySend(detachStream{stream: result.stream, output: output}) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(enginewire.HeaderStreamID, result.stream)
	if load, err := json.Marshal(result.load); err == nil {
		w.Header().Set(enginewire.HeaderLoad, string(load))
	}
	w.WriteHeader(http.StatusOK)
	writeChunk(w, enginewire.Choice{PromptTokenIDs: result.prompt})
	for {
		select {
		case <-r.Context().Done():
			return
		case item := <-output:
			if item.closeEarly {
				return
			}
			if item.err != "" {
				writeEvent(w, enginewire.Chunk{Error: &enginewire.Failure{Message: item.err}})
				return
			}
			writeChunk(w, tokenChoice(item, chat))
			if item.finishReason != "" {
				_, _ = w.Write([]byte("data: " + enginewire.StreamEnd + "\n\n"))
				return
			}
		}
	}
}

func tokenChoice(item streamItem, chat bool) enginewire.Choice {
	choice := enginewire.Choice{TokenIDs: []enginewire.TokenID{item.token}, FinishReason: item.finishReason}
	if chat {
		choice.Delta = &enginewire.Delta{Content: TokenText(item.token)}
	} else {
		choice.Text = TokenText(item.token)
	}
	return choice
}

func writeChunk(w http.ResponseWriter, choice enginewire.Choice) {
	writeEvent(w, enginewire.Chunk{Choices: []enginewire.Choice{choice}})
}

func writeEvent(w http.ResponseWriter, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("data: " + string(content) + "\n\n"))
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	load, err := task.Call(r.Context(), e.messages, func(reply task.Reply[enginewire.LoadReport]) engineMessage {
		return readLoad{reply: reply}
	})
	writeJSON(w, load, err)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, err := task.Call(r.Context(), e.messages, func(reply task.Reply[enginewire.CacheEvents]) engineMessage {
		return readCacheEvents{after: after, reply: reply}
	})
	writeJSON(w, events, err)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order enginewire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	result, err := task.Call(r.Context(), e.messages, func(reply task.Reply[enginewire.OrderResult]) engineMessage {
		return executeOrder{order: order, reply: reply}
	})
	writeJSON(w, result, err)
}

// writeJSON writes the body, or status 503 with the error if there is one.
func writeJSON(w http.ResponseWriter, body any, err error) {
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(enginewire.Chunk{Error: &enginewire.Failure{Message: message}})
}
