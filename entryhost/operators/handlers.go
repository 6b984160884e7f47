package operators

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/faultwire"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// authorKey is where admit leaves the operator's name.
const authorKey = "author"

const (
	defaultHistory = 20
	maxHistory     = 256
)

// admit authenticates the operator and bounds the body.
func (s *Server) admit(c *gin.Context) {
	token, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found {
		s.fail(c, model.NotRun(model.KindUnauthorised, model.ReasonNoCredentials, "the request has no bearer token", "pass --token or set LENTILPOINT_CLI_TOKEN"))
		return
	}
	name, known := authenticate(s.operators, token)
	if !known {
		s.fail(c, model.NotRun(model.KindUnauthorised, model.ReasonUnknownKey, "the token is not accepted", "use a token of --operator-tokens of this host"))
		return
	}
	c.Set(authorKey, name)
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
}

// fail answers with an error and ends the request.
func (s *Server) fail(c *gin.Context, err error) {
	fault := model.AsFault(err)
	s.Metrics.GetOrCreateCounter(`lentilpoint_operator_refusals_total{reason="` + string(fault.Reason) + `"}`).Inc()
	detail := ErrorDetail{
		Kind: fault.Kind, Reason: fault.Reason, Executed: fault.Executed, Message: fault.Message, Remedy: fault.Remedy, Field: fault.Field,
	}
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		detail.Winner = &conflict.Winner
	}
	var invalid *config.Invalid
	if errors.As(err, &invalid) {
		detail.Problems = invalid.Problems
	}
	c.AbortWithStatusJSON(faultwire.Status(fault.Kind), ErrorBody{Error: detail})
}

// decode reads a JSON body. Unknown fields are refused, because a misspelt one
// would otherwise be ignored.
func decode(c *gin.Context, target any) error {
	decoder := json.NewDecoder(c.Request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return model.BadField("body", "the body cannot be read: "+err.Error())
	}
	return nil
}

// current asks the store for the configuration in force.
func (s *Server) current(ctx context.Context) (*model.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	current, err := task.Call(ctx, s.Config, func(reply task.Reply[*model.Configuration]) config.Message {
		return config.Current{Reply: reply}
	})
	if err != nil {
		return nil, model.NotRun(model.KindUnavailable, model.ReasonNotReady, "the configuration is not available", "retry after a pause, or use another --server")
	}
	return current, nil
}

// withCurrent runs a handler that needs only the configuration in force.
func (s *Server) withCurrent(c *gin.Context, answer func(*model.Configuration) (any, *model.Fault)) {
	current, err := s.current(c.Request.Context())
	if err != nil {
		s.fail(c, err)
		return
	}
	body, fault := answer(current)
	if fault != nil {
		s.fail(c, fault)
		return
	}
	c.JSON(http.StatusOK, body)
}

func (s *Server) readConfiguration(c *gin.Context) {
	s.withCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return ConfigurationBody{Revision: current.Revision, Services: current.Services, Organisations: current.Organisations, Moves: current.Moves}, nil
	})
}

// readHistory answers from the store's log and reads the table only for older
// revisions.
func (s *Server) readHistory(c *gin.Context) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistory)))
	if err != nil || limit < 1 || limit > maxHistory {
		s.fail(c, model.BadField("limit", "limit must be between 1 and "+strconv.Itoa(maxHistory)))
		return
	}
	current, err := s.current(c.Request.Context())
	if err != nil {
		s.fail(c, err)
		return
	}
	from := current.Revision - min(current.Revision, model.Revision(limit))
	records, err := s.history(c.Request.Context(), from, limit)
	if err != nil {
		s.fail(c, err)
		return
	}
	c.JSON(http.StatusOK, HistoryAnswer{Records: records})
}

func (s *Server) history(ctx context.Context, from model.Revision, limit int) ([]config.RevisionRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	update, err := task.Call(ctx, s.Config, func(reply task.Reply[config.Update]) config.Message {
		return config.Since{Revision: from, Reply: reply}
	})
	if err == nil && update.Snapshot == nil {
		return update.Records, nil
	}
	return s.Commits.History(ctx, from, limit)
}

func (s *Server) compare(c *gin.Context) {
	var body CommitBody
	if err := decode(c, &body); err != nil {
		s.fail(c, err)
		return
	}
	s.withCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return DifferenceAnswer{
			Revision: current.Revision, Differences: config.Differences(current, body.Changes), Problems: config.Validate(current, body.Changes),
		}, nil
	})
}

// commit commits changes. Moves have their own paths, which keep the shares and
// the state of a move together.
func (s *Server) commit(c *gin.Context) {
	var body CommitBody
	if err := decode(c, &body); err != nil {
		s.fail(c, err)
		return
	}
	for _, change := range body.Changes {
		if change.PutMove != nil {
			s.fail(c, model.BadField("changes", "a move is changed with "+PathMoves))
			return
		}
	}
	current, err := s.current(c.Request.Context())
	if err != nil {
		s.fail(c, err)
		return
	}
	s.propose(c, current, body)
}

// propose commits a revision and puts it in force on this host at once.
func (s *Server) propose(c *gin.Context, current *model.Configuration, body CommitBody) {
	if body.ID == "" {
		s.fail(c, model.BadField("id", "the commit has no id, so its outcome could not be found after a lost answer"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), commitTimeout)
	defer cancel()
	author := c.GetString(authorKey)
	record, err := s.Commits.Commit(ctx, current, config.Proposal{
		Expected: body.Expected, ID: body.ID, Author: author, Note: body.Note, Changes: body.Changes,
	})
	if err != nil {
		s.learn(err)
		s.fail(c, err)
		return
	}
	s.Logger.Info("revision committed", eventcode.RevisionCommitted.Attr(), "revision", record.Revision, "author", author, "changes", config.Describe(record.Changes))
	s.recordChanges(record)
	_, _ = task.Call(ctx, s.Config, func(reply task.Reply[model.Revision]) config.Message {
		return config.Accepted{Records: []config.RevisionRecord{record}, PushToPeers: true, Reply: reply}
	})
	c.JSON(http.StatusOK, CommitAnswer{Revision: record.Revision, ID: record.ID})
}

// learn hands the winner of a conflict to the store. This host may be behind,
// and the operator would meet the same conflict again.
func (s *Server) learn(err error) {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		_ = s.Config.TrySend(config.Accepted{Records: []config.RevisionRecord{conflict.Winner}})
	}
}

// recordChanges writes the operator's decisions into the journal, where they
// explain later events of the same move or organisation.
func (s *Server) recordChanges(record config.RevisionRecord) {
	for _, change := range record.Changes {
		event := events.Event{
			Code:  eventcode.RevisionCommitted,
			Cause: fmt.Sprintf("%s committed revision %d: %s", record.Author, record.Revision, change),
		}
		switch {
		case change.PutMove != nil:
			event.Move, event.Service, event.Version = change.PutMove.ID, change.PutMove.Service, change.PutMove.To
		case change.PutOrganisation != nil:
			event.Organisation = change.PutOrganisation.ID
		case change.DeleteOrganisation != "":
			event.Organisation = change.DeleteOrganisation
		case change.PutService != nil:
			event.Service = change.PutService.Name
		}
		s.Recorder.Record(event)
	}
}
