package operators

import (
	"net/http"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/model"
)

func (s *Server) listServices(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return ServicesAnswer{Services: sortedValues(current.Services)}, nil
	})
}

func (s *Server) showService(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return lookupObject(current.Services, "service", model.ServiceName(c.Param("id")))
	})
}

func (s *Server) listOrganisations(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return OrganisationsAnswer{Organisations: sortedValues(current.Organisations)}, nil
	})
}

func (s *Server) showOrganisation(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return lookupObject(current.Organisations, "organisation", model.OrganisationID(c.Param("id")))
	})
}

func (s *Server) listMoves(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return MovesAnswer{Moves: newestFirst(current.Moves)}, nil
	})
}

func (s *Server) showMove(c *gin.Context) {
	s.respondFromCurrent(c, func(current *model.Configuration) (any, *model.Fault) {
		return lookupObject(current.Moves, "move", model.MoveID(c.Param("id")))
	})
}

func lookupObject[K ~string, V any](values map[K]V, kind string, key K) (any, *model.Fault) {
	value, found := values[key]
	if !found {
		return nil, notFound(kind, string(key))
	}
	return value, nil
}

// startMove commits a new move. The id of the commit is derived from the id of the
// move, so that a repeated request does not start a second move.
func (s *Server) startMove(c *gin.Context) {
	var body StartMoveBody
	if err := decodeBody(c, &body); err != nil {
		s.respondError(c, err)
		return
	}
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	if existing, found := current.Moves[body.ID]; found && existing.Service == body.Service && existing.To == body.To {
		c.JSON(http.StatusOK, CommitAnswer{Revision: current.Revision, ID: string(body.ID)})
		return
	}
	move, fault := newMove(current, body, s.Clock.Now().UTC())
	if fault != nil {
		s.respondError(c, fault)
		return
	}
	s.commitRevision(c, current, CommitBody{Expected: current.Revision, ID: "start-" + string(move.ID), Changes: startMoveChanges(move)})
}

// cancelMove commits the withdrawal of a running move.
func (s *Server) cancelMove(c *gin.Context) {
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	id := model.MoveID(c.Param("id"))
	changes, fault := cancelMoveChanges(current, id, c.GetString(authorKey))
	if fault != nil {
		s.respondError(c, fault)
		return
	}
	s.commitRevision(c, current, CommitBody{Expected: current.Revision, ID: "cancel-" + string(id), Changes: changes})
}
