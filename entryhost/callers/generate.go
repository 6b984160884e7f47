package callers

import (
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/entryhost/requests"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// updatesSize bounds the updates that wait for a caller. When it is full, the
// tokens stay in the request's ledger.
const updatesSize = 16

// modelList is the answer to GET /v1/models.
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

// generate serves a completion or chat completion.
func (s *Server) generate(c *gin.Context, chat bool) {
	who, fault := s.identify(c)
	if fault != nil {
		s.fail(c, who.id, fault)
		return
	}
	generation, body, fault := s.prepare(c, who, chat)
	if fault != nil {
		s.fail(c, who.id, fault)
		return
	}
	updates := make(chan requests.Update, updatesSize)
	start := requests.StartGeneration{Context: c.Request.Context(), Generation: generation, Updates: updates}
	if err := s.Requests.Send(c.Request.Context(), start); err != nil {
		return
	}
	format := answerFormat{id: who.id, model: body.Model, created: s.Clock.Now().Unix(), chat: chat, tokenIDs: body.ReturnTokenIDs}
	if body.Stream {
		s.stream(c, format, updates)
		return
	}
	s.collect(c, format, updates)
}

// prepare decodes the body and builds the request for the request task.
func (s *Server) prepare(c *gin.Context, who identity, chat bool) (requests.Generation, generationBody, *model.Fault) {
	content, fault := readBody(c)
	if fault != nil {
		return requests.Generation{}, generationBody{}, fault
	}
	body, sampling, fault := decodeGeneration(content, chat)
	if fault != nil {
		return requests.Generation{}, body, fault
	}
	service, found := who.configuration.Services[model.ServiceName(body.Model)]
	if !found || service.Kind != model.ServiceEngine {
		return requests.Generation{}, body, model.NotRun(model.KindNotFound, model.ReasonUnknownService,
			"there is no model service "+strconv.Quote(body.Model), "list the services with GET /v1/models")
	}
	deadline, fault := s.deadline(c, service)
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
		ID:           who.id,
		Service:      service.Name,
		Organisation: who.organisation,
		Deadline:     deadline,
		Fingerprint:  fingerprint(who.organisation.ID, content),
		Route:        path,
		Path:         path,
		Eager:        service.ResumeEager,
		Body: enginewire.Generation{
			Prompt:    body.Prompt,
			Messages:  body.Messages,
			MaxTokens: body.maxTokens(),
			Seed:      seed,
			Priority:  body.Priority,
			Sampling:  sampling,
		},
	}, body, nil
}

// fingerprint identifies the content of a request of one organisation.
func fingerprint(organisation model.OrganisationID, content []byte) model.Fingerprint {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(organisation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(content)
	return model.Fingerprint(hash.Sum64())
}

// stream passes updates on as server-sent events. The status is sent with the
// first tokens, so that an early refusal still has its own status.
func (s *Server) stream(c *gin.Context, format answerFormat, updates <-chan requests.Update) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	started := false
	for {
		select {
		case <-c.Request.Context().Done():
			return
		case <-heartbeat.C:
			if started {
				s.write(c, []byte(": heartbeat\n\n"))
			}
		case update := <-updates:
			if update.Fault != nil && !started {
				s.fail(c, format.id, update.Fault)
				return
			}
			if !started {
				startEvents(c)
				started = true
			}
			if s.writeUpdate(c, format, update) {
				return
			}
		}
	}
}

func startEvents(c *gin.Context) {
	c.Header("Content-Type", "text/event-stream")
	c.Header("Cache-Control", "no-cache")
	c.Header("X-Accel-Buffering", "no")
	c.Status(http.StatusOK)
}

// writeUpdate writes one update and reports whether it was the last.
func (s *Server) writeUpdate(c *gin.Context, format answerFormat, update requests.Update) bool {
	if update.Fault != nil {
		s.countRefusal(update.Fault)
		s.writeEvent(c, "", errorBody(update.Fault, format.id))
		return true
	}
	position := update.Position + len(update.Tokens)
	s.writeEvent(c, string(format.id)+"."+strconv.Itoa(position), format.chunk(update.Tokens, update.Finish))
	if update.Finish == "" {
		return false
	}
	s.write(c, []byte("data: "+enginewire.StreamEnd+"\n\n"))
	return true
}

func (s *Server) writeEvent(c *gin.Context, id string, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		s.Logger.Error("event not encoded", eventcode.EventNotEncoded.Attr(), "error", err)
		return
	}
	event := make([]byte, 0, len(content)+len(id)+16)
	if id != "" {
		event = append(event, "id: "...)
		event = append(event, id...)
		event = append(event, '\n')
	}
	event = append(event, "data: "...)
	event = append(event, content...)
	event = append(event, "\n\n"...)
	s.write(c, event)
}

// write sends the bytes at once. An error shows as the end of the request's context.
func (s *Server) write(c *gin.Context, content []byte) {
	if _, err := c.Writer.Write(content); err == nil {
		c.Writer.Flush()
	}
}

// collect answers with the whole generation.
func (s *Server) collect(c *gin.Context, format answerFormat, updates <-chan requests.Update) {
	var tokens []backends.Token
	for {
		select {
		case <-c.Request.Context().Done():
			return
		case update := <-updates:
			if update.Fault != nil {
				s.fail(c, format.id, update.Fault)
				return
			}
			tokens = append(tokens, update.Tokens...)
			if update.Finish != "" {
				c.JSON(http.StatusOK, format.whole(tokens, update.Finish, update.PromptTokens))
				return
			}
		}
	}
}
