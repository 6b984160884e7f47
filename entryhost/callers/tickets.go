package callers

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/model"
)

// ticketAnswer is the answer to POST /v1/tickets.
type ticketAnswer struct {
	// Ticket is sent as the Idempotency-Key of one call.
	Ticket  string    `json:"ticket"`
	Expires time.Time `json:"expires"`
}

// issueTicket answers with an idempotency key that can be redeemed without the
// platform. A draining entry host issues none.
func (s *Server) issueTicket(c *gin.Context) {
	caller, fault := s.authenticate(c)
	if fault != nil {
		s.writeFault(c, caller.requestID, fault)
		return
	}
	select {
	case <-s.draining:
		s.writeFault(c, caller.requestID, model.NotRun(model.KindUnavailable, model.ReasonDraining,
			"this entry host is stopping and would forget the ticket", "send the request again; the balancer picks another entry host"))
		return
	default:
	}
	ticket, expires := s.Tickets.Issue(caller.organisation.ID, s.Clock.Now())
	s.Metrics.GetOrCreateCounter("lentilpoint_tickets_issued_total").Inc()
	c.JSON(http.StatusOK, ticketAnswer{Ticket: ticket, Expires: expires})
}
