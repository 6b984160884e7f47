package operators

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// peerEventsTimeout bounds the calls to peers, so that an explanation takes at
	// most 1 s even if a peer does not respond.
	peerEventsTimeout = 500 * time.Millisecond
	// maxEvents bounds the events of one answer.
	maxEvents = 5000
	// maxPeerEvents bounds the events that one peer returns.
	maxPeerEvents = 1000
	// journalTimeout bounds how long a call from a peer waits for the journal. It
	// is shorter than peerEventsTimeout, the timeout of the calling host.
	journalTimeout = 400 * time.Millisecond
)

const (
	receiverName = "Operators"
	methodEvents = receiverName + ".Events"
)

func (s *Server) readStatus(c *gin.Context) {
	current, err := s.currentConfiguration(c.Request.Context())
	if err != nil {
		s.respondError(c, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), lookupTimeout)
	defer cancel()
	revisions, err := task.Call(ctx, s.revisionsRequests, func(reply task.Reply[map[model.HostID]model.Revision]) revisionsRequest {
		return revisionsRequest{reply: reply}
	})
	if err != nil {
		s.respondError(c, model.NotRun(model.KindUnavailable, model.ReasonNotReady, "the status is not available", "retry after a pause"))
		return
	}
	self := HostStatus{ID: s.Self, DataCentre: s.Home, Alive: true, Revision: current.Revision, Answering: true}
	c.JSON(http.StatusOK, StatusAnswer{Hosts: statusOfHosts(self, s.peerMembers(ctx), revisions)})
}

// peerMembers returns the other entry hosts, or none if peer links are off.
func (s *Server) peerMembers(ctx context.Context) []peers.Member {
	if !s.PeersOn {
		return nil
	}
	members, _ := task.Call(ctx, s.Peers, func(reply task.Reply[[]peers.Member]) peers.Message {
		return peers.Members{Reply: reply}
	})
	return members
}

// readEvents merges the matching events of this host, of all live members and, on
// request, of the object store.
func (s *Server) readEvents(c *gin.Context) {
	query, fault := parseEventQuery(c)
	if fault != nil {
		s.respondError(c, fault)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), peerEventsTimeout)
	defer cancel()
	members := slices.DeleteFunc(s.peerMembers(ctx), func(member peers.Member) bool { return !member.Alive })
	answers := make(chan hostEvents, len(members)+1)
	go func() { answers <- s.localEvents(ctx, query) }()
	for _, member := range members {
		go func() { answers <- s.peerEvents(ctx, member.ID, query) }()
	}
	var parts [][]events.Event
	var answer EventsAnswer
	for range len(members) + 1 {
		part := <-answers
		parts = append(parts, part.events)
		if part.err != nil {
			answer.Unanswered = append(answer.Unanswered, part.host)
		}
	}
	if wantsArchive(c.Query("archive")) {
		flushed := readArchive(c.Request.Context(), s.Objects, query, s.Clock.Now())
		answer.ArchiveIncomplete = flushed.incomplete
		parts = append(parts, flushed.events)
	}
	slices.Sort(answer.Unanswered)
	answer.Events = mergeEvents(parts, query.Limit)
	c.JSON(http.StatusOK, answer)
}

type hostEvents struct {
	host   model.HostID
	events []events.Event
	err    error
}

func (s *Server) localEvents(ctx context.Context, query events.Query) hostEvents {
	found, err := queryJournal(ctx, s.Events, query)
	return hostEvents{host: s.Self, events: found, err: err}
}

func (s *Server) peerEvents(ctx context.Context, host model.HostID, query events.Query) hostEvents {
	query.Limit = min(query.Limit, maxPeerEvents)
	result := &PeerEvents{}
	err, failed := task.Call(ctx, s.Peers, func(reply task.Reply[error]) peers.Message {
		return peers.Invoke{Context: ctx, Host: host, Method: methodEvents, Arguments: &query, Result: result, Reply: reply}
	})
	if err := errors.Join(err, failed); err != nil {
		// The link task may still be writing to the result, so it is not read.
		return hostEvents{host: host, err: err}
	}
	return hostEvents{host: host, events: result.Events}
}

func queryJournal(ctx context.Context, journal task.Mailbox[events.Message], query events.Query) ([]events.Event, error) {
	return task.Call(ctx, journal, func(reply task.Reply[[]events.Event]) events.Message {
		return events.Select{Query: query, Reply: reply}
	})
}

func parseEventQuery(c *gin.Context) (events.Query, *model.Fault) {
	query := events.Query{
		Request:      model.RequestID(c.Query("request")),
		Move:         model.MoveID(c.Query("move")),
		Organisation: model.OrganisationID(c.Query("organisation")),
		Limit:        maxEvents,
	}
	if since := c.Query("since"); since != "" {
		at, err := time.Parse(time.RFC3339Nano, since)
		if err != nil {
			return query, model.BadField("since", "since must be a time as in 2026-12-04T08:00:00Z")
		}
		query.Since = at
	}
	if text := c.Query("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxEvents {
			return query, model.BadField("limit", "limit must be between 1 and "+strconv.Itoa(maxEvents))
		}
		query.Limit = limit
	}
	return query, nil
}

// PeerEvents is the answer of the net/rpc method Events: the matching events of one
// host, oldest first.
type PeerEvents struct{ Events []events.Event }

// Peer is the net/rpc receiver for event queries of other entry hosts. Its methods
// run in the goroutine of a connection and send messages to the journal task.
type Peer struct{ journal task.Mailbox[events.Message] }

// NewPeer returns the net/rpc receiver for the journal with this mailbox.
func NewPeer(journal task.Mailbox[events.Message]) *Peer { return &Peer{journal: journal} }

// Receiver returns the object with the name under which peers call it.
func (p *Peer) Receiver() peers.Receiver { return peers.Receiver{Name: receiverName, Object: p} }

// Events returns the newest matching events of this host, at least 1 and at most
// maxPeerEvents of them.
func (p *Peer) Events(query *events.Query, answer *PeerEvents) error {
	ctx, cancel := context.WithTimeout(context.Background(), journalTimeout)
	defer cancel()
	bounded := *query
	bounded.Limit = min(max(bounded.Limit, 1), maxPeerEvents)
	found, err := queryJournal(ctx, p.journal, bounded)
	answer.Events = found
	return err
}
