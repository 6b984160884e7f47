package operators

import (
	"context"
	"crypto/tls"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// revisionReportsMailboxSize bounds the queued revision reports. Reports are
	// repeated, so dropping one only delays the status.
	revisionReportsMailboxSize = 512
	// revisionsRequestsMailboxSize bounds the queued status requests.
	revisionsRequestsMailboxSize = 16
	// lookupTimeout bounds the wait for an answer of another task of this host.
	lookupTimeout = 2 * time.Second
	// commitTimeout bounds a commit, including its retries after lost answers.
	commitTimeout = 15 * time.Second
	// readHeaderTimeout bounds the time for receiving the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// maxBodyBytes bounds the body of a request. A questionnaire with 9,100
	// organisations takes 2 MB.
	maxBodyBytes = 8 << 20
)

// gin prints its routes on standard output unless it is in release mode.
func init() { gin.SetMode(gin.ReleaseMode) }

// Parameters holds the settings and dependencies of a Server.
type Parameters struct {
	Self model.HostID
	// Home is the data centre of this host.
	Home model.DataCentre
	// Tokens are the accepted bearer tokens, each written as token or name=token.
	Tokens  []string
	Config  task.Mailbox[config.Message]
	Commits config.Committer
	Events  task.Mailbox[events.Message]
	// Objects is the object store to which the journals of all hosts write events.
	Objects platform.Objects
	// Recorder receives an event for each committed change.
	Recorder events.Recorder
	// Peers is the mailbox of the membership task. It is used only if PeersOn
	// is set.
	Peers   task.Mailbox[peers.Message]
	PeersOn bool
	// TLS is the configuration for HTTPS, or nil for plain HTTP.
	TLS     *tls.Config
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Server is the task that owns the listening socket for operators and the
// revisions that other hosts report.
type Server struct {
	Parameters

	acceptedTokens    []operatorToken
	socket            task.Socket
	revisionReports   task.Mailbox[peers.Fact]
	revisionsRequests task.Mailbox[revisionsRequest]
	revisions         map[model.HostID]model.Revision
}

// NewServer returns the operator API on a bound socket. A nil listener turns the
// API off.
func NewServer(listener net.Listener, parameters Parameters) *Server {
	return &Server{
		Parameters:        parameters,
		acceptedTokens:    parseTokens(parameters.Tokens),
		socket:            task.NewSocket(listener),
		revisionReports:   task.NewMailbox[peers.Fact](revisionReportsMailboxSize),
		revisionsRequests: task.NewMailbox[revisionsRequest](revisionsRequestsMailboxSize),
		revisions:         make(map[model.HostID]model.Revision),
	}
}

// Address returns the listening address, or an empty string if the API is off.
func (s *Server) Address() string { return s.socket.Address() }

// Subscriber returns the subscription to the revisions that other hosts report.
func (s *Server) Subscriber() peers.Subscriber {
	return peers.Subscriber{Kinds: []peers.FactKind{peers.FactRevision}, Mailbox: s.revisionReports}
}

// String names the task in the logs.
func (s *Server) String() string { return "operators" }

// Serve handles requests of operators until the context ends. After a failure the
// supervisor calls it again, and it binds the same address.
func (s *Server) Serve(ctx context.Context) error {
	if s.Address() == "" {
		return suture.ErrDoNotRestart
	}
	listener, err := s.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(s.Logger.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.withTLS(listener)) }()
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(server.Close())
		case err := <-failed:
			return Error.Wrap(err)
		case fact := <-s.revisionReports.C():
			s.storeRevision(fact)
		case request := <-s.revisionsRequests.C():
			request.reply.Send(maps.Clone(s.revisions))
		}
	}
}

func (s *Server) withTLS(listener net.Listener) net.Listener {
	if s.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, s.TLS)
}

// storeRevision stores the revision that a host reported. It drops a value that
// cannot be decoded: that comes from another version of the daemon, and only
// the status uses it.
func (s *Server) storeRevision(fact peers.Fact) {
	if revision, err := strconv.ParseUint(string(fact.Value), 10, 64); err == nil {
		s.revisions[fact.Origin] = model.Revision(revision)
	}
}

func (s *Server) handler() http.Handler {
	router := gin.New()
	router.UseRawPath = true
	router.Use(s.authenticateRequest)
	router.GET(PathConfiguration, s.readConfiguration)
	router.GET(PathHistory, s.readHistory)
	router.POST(PathDifference, s.readDifference)
	router.POST(PathCommit, s.commitChanges)
	router.GET(PathServices, s.listServices)
	router.GET(PathServices+"/:id", s.showService)
	router.GET(PathOrganisations, s.listOrganisations)
	router.GET(PathOrganisations+"/:id", s.showOrganisation)
	router.GET(PathMoves, s.listMoves)
	router.POST(PathMoves, s.startMove)
	router.GET(PathMoves+"/:id", s.showMove)
	router.DELETE(PathMoves+"/:id", s.cancelMove)
	router.GET(PathStatus, s.readStatus)
	router.GET(PathEvents, s.readEvents)
	router.NoRoute(func(c *gin.Context) {
		s.respondError(c, model.NotRun(model.KindNotFound, model.ReasonBadField, "there is no such path", "use a lentilpoint command of the same version as the daemon"))
	})
	return router
}
