package callers

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/model"
)

// ticketBody is the answer to POST /v1/tickets.
type ticketBody struct {
	// Ticket is sent as Idempotency-Key of one call.
	Ticket  string    `json:"ticket"`
	Expires time.Time `json:"expires"`
}

// issueTicket answers with an idempotency key that needs no platform.
func (s *Server) issueTicket(c *gin.Context) {
	who, fault := s.identify(c)
	if fault != nil {
		s.fail(c, who.id, fault)
		return
	}
	select {
	case <-s.draining:
		s.fail(c, who.id, model.NotRun(model.KindUnavailable, model.ReasonDraining,
			"this entry host is stopping and would forget the ticket", "send the request again; the balancer picks another entry host"))
		return
	default:
	}
	ticket, expires := s.Tickets.Issue(who.organisation.ID, s.Clock.Now())
	s.Metrics.GetOrCreateCounter("lentilpoint_tickets_issued_total").Inc()
	c.JSON(http.StatusOK, ticketBody{Ticket: ticket, Expires: expires})
}
