package callers

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// updateBufferSize bounds the updates that wait to be written to a caller. When
// it is full, the tokens stay in the request's ledger.
const updateBufferSize = 16

// modelList returns the answer to GET /v1/models.
func modelList(configuration *model.Configuration) modelsBody {
	body := modelsBody{Object: "list", Data: []modelEntry{}}
	for name, service := range configuration.Services {
		if service.Kind == model.ServiceEngine {
			body.Data = append(body.Data, modelEntry{ID: string(name), Object: "model", OwnedBy: "lentilpoint"})
		}
	}
	slices.SortFunc(body.Data, func(a, b modelEntry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return body
}

type modelsBody struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// generate serves a completion or chat completion, streamed or as one answer.
func (s *Server) generate(c *gin.Context, chat bool) {
	caller, fault := s.authenticate(c)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	content, fault := readBody(c)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	generation, body, fault := s.prepareGeneration(c, caller, content, chat)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	binding := bindCursor(caller.organisation.ID, generation.Path, content)
	if fault := s.applyCursor(c, &generation, body, binding); fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	updates := make(chan requests.Update, updateBufferSize)
	start := requests.StartGeneration{Context: c.Request.Context(), Generation: generation, Updates: updates}
	if err := s.Requests.Send(c.Request.Context(), start); err != nil {
		abortAnswer()
	}
	format := answerFormat{id: caller.requestID, model: body.Model, created: s.Clock.Now().Unix(), chat: chat, tokenIDs: body.ReturnTokenIDs}
	if body.Stream {
		cursor := cursorStream{binding: binding, seed: generation.Body.Seed}
		s.streamUpdates(c, newEventEncoder(format, s.Cursors, cursor), updates, generation.Resume != nil)
		return
	}
	s.writeCompletion(c, format, updates)
}

// prepareGeneration decodes the body and builds the generation for the request
// task.
func (s *Server) prepareGeneration(c *gin.Context, caller callerIdentity, content []byte, chat bool) (requests.Generation, generationBody, *model.Fault) {
	body, sampling, fault := decodeGeneration(content, chat)
	if fault != nil {
		return requests.Generation{}, body, fault
	}
	service, found := caller.configuration.Services[model.ServiceName(body.Model)]
	if !found || service.Kind != model.ServiceEngine {
		return requests.Generation{}, body, model.NotRun(model.KindNotFound, model.ReasonUnknownService,
			"there is no model service "+strconv.Quote(body.Model), "list the services with GET /v1/models")
	}
	deadline, fault := s.requestDeadline(c, service)
	if fault != nil {
		return requests.Generation{}, body, fault
	}
	path := enginewire.PathCompletions
	if chat {
		path = enginewire.PathChatCompletions
	}
	seed := rand.Int64()
	if body.Seed != nil {
		seed = *body.Seed
	}
	return requests.Generation{
		ID:           caller.requestID,
		Service:      service.Name,
		Organisation: caller.organisation,
		Deadline:     deadline,
		Fingerprint:  generationFingerprint(caller.organisation.ID, content),
		Route:        path,
		Path:         path,
		Eager:        service.ResumeEager,
		Body: enginewire.Generation{
			Prompt:    body.Prompt,
			Messages:  body.Messages,
			MaxTokens: body.requestedMaxTokens(),
			Seed:      seed,
			Priority:  body.Priority,
			Sampling:  sampling,
		},
	}, body, nil
}

// applyCursor sets the resume point of a caller that reconnects. The seed comes
// from the cursor, as the caller may not have set one.
func (s *Server) applyCursor(c *gin.Context, generation *requests.Generation, body generationBody, binding cursorBinding) *model.Fault {
	text := c.GetHeader("Last-Event-ID")
	if text == "" {
		return nil
	}
	if !body.Stream {
		return model.BadField("stream", "Last-Event-ID continues streamed answers only")
	}
	cursor, mark, fault := s.Cursors.verify(text, binding)
	if fault != nil {
		return fault
	}
	generation.Body.Seed = cursor.seed
	generation.Resume = &requests.ResumePoint{Version: cursor.version, Mark: mark, Source: cursor.source}
	return nil
}

// generationFingerprint identifies the content of an organisation's request.
func generationFingerprint(organisation model.OrganisationID, content []byte) model.Fingerprint {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(organisation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(content)
	return model.Fingerprint(hash.Sum64())
}

// streamUpdates writes updates as server-sent events. The status is sent with
// the first tokens, so that an early refusal still has its own status. A
// resumed answer may have to be generated again up to its position, which takes
// longer than callers wait for a status; its status is sent with the first
// heartbeat at the latest.
func (s *Server) streamUpdates(c *gin.Context, encoder *eventEncoder, updates <-chan requests.Update, resumed bool) {
	heartbeat := s.Clock.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	started := false
	for {
		select {
		case <-c.Request.Context().Done():
			abortAnswer()
		case <-heartbeat.Chan():
			if !started && resumed {
				startEventStream(c)
				started = true
			}
			if started && s.writeBytes(c, []byte(": heartbeat\n\n")) {
				c.Writer.Flush()
			}
		case update := <-updates:
			if update.Fault != nil && !started {
				abortIfGone(c)
				s.writeFault(c, encoder.format.id, update.Fault)
				return
			}
			if !started {
				startEventStream(c)
				started = true
			}
			if s.writeUpdates(c, encoder, update, updates) {
				return
			}
		}
	}
}

func startEventStream(c *gin.Context) {
	c.Header("Content-Type", "text/event-stream")
	c.Header("Cache-Control", "no-cache")
	c.Header("X-Accel-Buffering", "no")
	c.Status(http.StatusOK)
}

// writeUpdates writes an update and those that are already queued, without
// waiting for more, so that several updates to a slow caller cost one flush. It
// reports whether the last update was written.
func (s *Server) writeUpdates(c *gin.Context, encoder *eventEncoder, update requests.Update, updates <-chan requests.Update) bool {
	defer c.Writer.Flush()
	for {
		if s.writeUpdate(c, encoder, update) {
			return true
		}
		select {
		case update = <-updates:
		default:
			return false
		}
	}
}

// writeUpdate writes one update and reports whether nothing more can be
// written: it was the last one, or the connection failed.
func (s *Server) writeUpdate(c *gin.Context, encoder *eventEncoder, update requests.Update) bool {
	if update.Fault == nil {
		return !s.writeBytes(c, encoder.encodeUpdate(update)) || update.FinishReason != ""
	}
	abortIfGone(c)
	s.countRefusal(update.Fault)
	event, err := encoder.encodeFault(update.Fault)
	if err != nil {
		s.Logger.Error("event not encoded", eventcode.EventNotEncoded.Attr(), "error", err)
		return true
	}
	s.writeBytes(c, event)
	return true
}

// writeBytes reports whether the content was written without an error.
func (s *Server) writeBytes(c *gin.Context, content []byte) bool {
	_, err := c.Writer.Write(content)
	return err == nil
}

// writeCompletion collects all tokens and answers with the complete generation.
func (s *Server) writeCompletion(c *gin.Context, format answerFormat, updates <-chan requests.Update) {
	var tokens []backends.Token
	for {
		select {
		case <-c.Request.Context().Done():
			abortAnswer()
		case update := <-updates:
			if update.Fault != nil {
				abortIfGone(c)
				s.writeFault(c, format.id, update.Fault)
				return
			}
			tokens = append(tokens, update.Tokens...)
			if update.FinishReason != "" {
				c.JSON(http.StatusOK, format.completion(tokens, update.FinishReason, update.PromptTokens))
				return
			}
		}
	}
}
