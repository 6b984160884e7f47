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

// authorKey is the key of the gin context under which authenticateRequest stores
// the operator's name.
const authorKey = "author"

// Limits of the "limit" parameter of a history request.
const (
	defaultHistoryRevisions = 20
	maxHistoryRevisions     = 256
)

// authenticateRequest checks the bearer token and limits the size of the body.
func (s *Server) authenticateRequest(c *gin.Context) {
	token, found := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !found {
		s.respondError(c, model.NotRun(model.KindUnauthorised, model.ReasonNoCredentials, "the request has no bearer token", "pass --token or set LENTILPOINT_CLI_TOKEN"))
		return
	}
	name, known := authenticate(s.acceptedTokens, token)
	if !known {
		s.respondError(c, model.NotRun(model.KindUnauthorised, model.ReasonUnknownKey, "the token is not accepted", "use a token of --operator-tokens of this host"))
		return
	}
	c.Set(authorKey, name)
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
}

// respondError writes the error as the response, counts it by reason and aborts the
// remaining handlers.
func (s *Server) respondError(c *gin.Context, err error) {
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

// decodeBody reads a JSON body. It rejects unknown fields, because a misspelt field
// would otherwise be ignored.
func decodeBody(c *gin.Context, target any) error {
	decoder := json.NewDecoder(c.Request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return model.BadField("body", "the body cannot be read: "+err.Error())
	}
	return nil
}

// currentConfiguration returns the configuration in force, from the store task.
func (s *Server) currentConfiguration(ctx context.Context) (*model.Configuration, error) {
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

// respondFromCurrent responds with the value that answer derives from the
// configuration in force.
func (s *Server) respondFromCurrent(c *gin.Context, answer func(*model.Configuration) (any, *model.Fault)) {
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	body, fault := answer(current)
	if fault != nil {
		s.respondError(c, fault)
		return
	}
	c.JSON(http.StatusOK, body)
}

func (s *Server) readConfiguration(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return ConfigurationBody{Revision: current.Revision, Services: current.Services, Organisations: current.Organisations, Moves: current.Moves}, nil
	})
}

// readHistory returns the newest revisions, oldest first.
func (s *Server) readHistory(c *gin.Context) {
	limit, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultHistoryRevisions)))
	if err != nil || limit < 1 || limit > maxHistoryRevisions {
		s.respondError(c, model.BadField("limit", "limit must be between 1 and "+strconv.Itoa(maxHistoryRevisions)))
		return
	}
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	from := current.Revision - min(current.Revision, model.Revision(limit))
	records, err := s.readRevisions(c.Request.Context(), from, limit)
	if err != nil {
		s.respondError(c, err)
		return
	}
	c.JSON(http.StatusOK, HistoryAnswer{Records: records})
}

// readRevisions returns up to limit revisions after from. It reads the table
// only if the log of the store task no longer reaches back to from.
func (s *Server) readRevisions(ctx context.Context, from model.Revision, limit int) ([]config.RevisionRecord, error) {
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

// readDifference returns the differences that changes would make and the
// problems that would cause them to be refused, without committing them.
func (s *Server) readDifference(c *gin.Context) {
	var body CommitBody
	if err := decodeBody(c, &body); err != nil {
		s.respondError(c, err)
		return
	}
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return DifferenceAnswer{
			Revision: current.Revision, Differences: config.Differences(current, body.Changes), Problems: config.Validate(current, body.Changes),
		}, nil
	})
}

// commitChanges commits changes to services and organisations. Moves have their own
// paths, which change the state of a move and the shares in one revision.
func (s *Server) commitChanges(c *gin.Context) {
	var body CommitBody
	if err := decodeBody(c, &body); err != nil {
		s.respondError(c, err)
		return
	}
	for _, change := range body.Changes {
		if change.PutMove != nil {
			s.respondError(c, model.BadField("changes", "a move is changed with "+PathMoves))
			return
		}
	}
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	s.commitRevision(c, current, body)
}

// commitRevision commits the changes as one revision and puts it in force on
// this host at once.
func (s *Server) commitRevision(c *gin.Context, current *model.Configuration, body CommitBody) {
	if body.ID == "" {
		s.respondError(c, model.BadField("id", "the commit has no id, so its outcome could not be found after a lost answer"))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), commitTimeout)
	defer cancel()
	author := c.GetString(authorKey)
	record, err := s.Commits.Commit(ctx, current, config.Proposal{
		Expected: body.Expected, ID: body.ID, Author: author, Note: body.Note, Changes: body.Changes,
	})
	if err != nil {
		s.applyConflictWinner(err)
		s.respondError(c, err)
		return
	}
	s.Logger.Info("revision committed", eventcode.RevisionCommitted.Attr(), "revision", record.Revision, "author", author, "changes", config.Describe(record.Changes))
	s.recordChanges(record)
	_, _ = task.Call(ctx, s.Config, func(reply task.Reply[model.Revision]) config.Message {
		return config.Accepted{Records: []config.RevisionRecord{record}, PushToPeers: true, Reply: reply}
	})
	c.JSON(http.StatusOK, CommitAnswer{Revision: record.Revision, ID: record.ID})
}

// applyConflictWinner sends the winning revision of a conflict to the store
// task. This host may lack that revision, and without it a retry by the
// operator would conflict again.
func (s *Server) applyConflictWinner(err error) {
	var conflict *config.Conflict
	if errors.As(err, &conflict) {
		_ = s.Config.TrySend(config.Accepted{Records: []config.RevisionRecord{conflict.Winner}})
	}
}

// recordChanges records an event for each change, so that an explanation of a move
// or an organisation includes the changes that operators made to it.
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
