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
	// factsSize bounds the revision reports that wait; a dropped one comes again.
	factsSize = 512
	// questionsSize bounds the status requests that wait for the task.
	questionsSize = 16
	// lookupTimeout bounds the wait for another task of this host.
	lookupTimeout = 2 * time.Second
	// commitTimeout bounds a commit, with all its retries after lost answers.
	commitTimeout = 15 * time.Second
	// readHeaderTimeout bounds the time an operator may take to send headers.
	readHeaderTimeout = 5 * time.Second
	// maxBodyBytes bounds a body; a questionnaire of 9,100 organisations takes 2 MB.
	maxBodyBytes = 8 << 20
)

// gin prints its routes on standard output unless it is in release mode.
func init() { gin.SetMode(gin.ReleaseMode) }

// Parameters are what the server is built from.
type Parameters struct {
	Self    model.HostID
	Home    model.DataCentre
	Tokens  []string
	Config  task.Mailbox[config.Message]
	Commits config.Committer
	Events  task.Mailbox[events.Message]
	// Objects holds the events that journals flushed.
	Objects platform.Objects
	// Recorder takes the operators' decisions.
	Recorder events.Recorder
	// Peers is the mailbox of the membership task; PeersOn tells that it is in use.
	Peers   task.Mailbox[peers.Message]
	PeersOn bool
	// TLS is nil for plain HTTP.
	TLS     *tls.Config
	Clock   clockwork.Clock
	Metrics *metrics.Set
	Logger  *slog.Logger
}

// Server is the task that owns the listening socket for operators and the
// revisions that other hosts report.
type Server struct {
	Parameters

	operators []operator
	socket    task.Socket
	facts     task.Mailbox[peers.Fact]
	questions task.Mailbox[askRevisions]
	revisions map[model.HostID]model.Revision
}

// NewServer returns the operator API on a bound socket. A nil listener turns it
// off.
func NewServer(listener net.Listener, parameters Parameters) *Server {
	return &Server{
		Parameters: parameters,
		operators:  parseTokens(parameters.Tokens),
		socket:     task.NewSocket(listener),
		facts:      task.NewMailbox[peers.Fact](factsSize),
		questions:  task.NewMailbox[askRevisions](questionsSize),
		revisions:  make(map[model.HostID]model.Revision),
	}
}

// Address returns the address that operators reach, or an empty string.
func (s *Server) Address() string { return s.socket.Address() }

// Subscriber receives the revisions that other hosts report.
func (s *Server) Subscriber() peers.Subscriber {
	return peers.Subscriber{Kinds: []peers.FactKind{peers.FactRevision}, Mailbox: s.facts}
}

// String names the task in the logs.
func (s *Server) String() string { return "operators" }

// Serve answers operators until the context ends. After a failure the
// supervisor calls it again and it binds the same address.
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
	go func() { failed <- server.Serve(s.encrypted(listener)) }()
	for {
		select {
		case <-ctx.Done():
			return Error.Wrap(server.Close())
		case err := <-failed:
			return Error.Wrap(err)
		case fact := <-s.facts.C():
			s.keep(fact)
		case question := <-s.questions.C():
			question.reply.Send(maps.Clone(s.revisions))
		}
	}
}

func (s *Server) encrypted(listener net.Listener) net.Listener {
	if s.TLS == nil {
		return listener
	}
	return tls.NewListener(listener, s.TLS)
}

// keep stores a report. An undecodable one is dropped: it comes from another
// version of the daemon and only concerns the status page.
func (s *Server) keep(fact peers.Fact) {
	if revision, err := strconv.ParseUint(string(fact.Value), 10, 64); err == nil {
		s.revisions[fact.Origin] = model.Revision(revision)
	}
}

func (s *Server) handler() http.Handler {
	router := gin.New()
	router.UseRawPath = true
	router.Use(s.admit)
	router.GET(PathConfiguration, s.readConfiguration)
	router.GET(PathHistory, s.readHistory)
	router.POST(PathDifference, s.compare)
	router.POST(PathCommit, s.commit)
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
		s.fail(c, model.NotRun(model.KindNotFound, model.ReasonBadField, "there is no such path", "use a lentilpoint command of the same version as the daemon"))
	})
	return router
}
