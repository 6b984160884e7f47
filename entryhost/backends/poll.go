package backends

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/httpresponse"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// pollTimeout bounds one read of load and cache events.
	pollTimeout = time.Second
	// maxPollBytes bounds one answer to a poll.
	maxPollBytes = 4 << 20
)

// errNoEndpoint is returned for an endpoint that a server does not implement.
var errNoEndpoint = Error.New("the server has no such endpoint")

// Polling bounds the reads of load reports of one entry host.
type Polling struct {
	// MinInterval is the shortest mean time between two polls of one server.
	MinInterval time.Duration
	// MaxPerSecond is the maximum number of polls of all servers in a second, so
	// that their cost does not grow with the number of servers; 0 means no maximum.
	// Load reports also come with the answers of engines, so that servers in use
	// rarely depend on polls.
	MaxPerSecond float64
	// Seed seeds the random jitter of the polls.
	Seed uint64
	// Memory bounds what is kept of the answers to polls; nil is no bound.
	Memory memory.Granter
}

// intervalFor returns the mean time between two polls of one server, when this many
// servers share MaxPerSecond.
func (p Polling) intervalFor(servers int) time.Duration {
	if p.MaxPerSecond <= 0 {
		return p.MinInterval
	}
	return max(p.MinInterval, time.Duration(float64(servers)/p.MaxPerSecond*float64(time.Second)))
}

// plannedPoll holds the parameters of the next poll of a server.
type plannedPoll struct {
	// wait is the time before the poll, spread around the interval.
	wait time.Duration
	host model.Host
	// after is the sequence number of the last cache event read.
	after uint64
	// noCacheEvents skips the cache events of a server that has none.
	noCacheEvents bool
	memory        memory.Granter
}

// pollResult is the result of one poll.
type pollResult struct {
	load          enginewire.LoadReport
	cache         enginewire.CacheEvents
	noCacheEvents bool
	err           error
}

// loadReceived is a load report that came with an engine's answer.
type loadReceived struct{ load enginewire.LoadReport }

// PollNow asks a server task to poll at once, for a decision that needs a fresh
// load report.
type PollNow struct{}

// poolSize carries the number of servers that share the poll rate to a server task.
type poolSize struct{ servers int }

func (pollResult) command()   {}
func (loadReceived) command() {}
func (poolSize) command()     {}
func (PollNow) command()      {}

// firstPollDivisor divides the interval before the first poll of a server, which
// gets no work before its versions are known.
const firstPollDivisor = 10

// nextPoll plans the next poll, after half to one and a half intervals. Before the
// first load report the interval ignores MaxPerSecond, and the first poll comes
// early.
func (s *serverTask) nextPoll() plannedPoll {
	interval := s.polling.intervalFor(s.servers)
	if s.state.LoadAt.IsZero() {
		interval = s.polling.MinInterval
	}
	if !s.firstPollPlanned {
		s.firstPollPlanned = true
		interval /= firstPollDivisor
	}
	return plannedPoll{
		wait:          interval/2 + time.Duration(s.random.Int64N(int64(interval)+1)),
		host:          s.state.Host,
		after:         s.cache.sequence,
		noCacheEvents: s.noCacheEvents,
		memory:        s.polling.Memory,
	}
}

// pollNow ends the wait of the planned poll.
func (s *serverTask) pollNow() {
	select {
	case s.pollDue <- struct{}{}:
	default:
	}
}

// poll waits, reads load and cache events once and sends the result to the
// server task, which starts the next poll.
func (s *serverTask) poll(ctx context.Context, planned plannedPoll) {
	select {
	case <-ctx.Done():
		return
	case <-s.pollDue:
	case <-s.clock.After(planned.wait):
	}
	// A new connection for each poll also checks that the server accepts connections.
	client := &http.Client{Transport: httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true})}
	_ = s.commands.Send(ctx, pollServer(ctx, client, planned))
}

// pollServer reads the load report of a server and, if it has any, its cache
// events.
func pollServer(ctx context.Context, client *http.Client, planned plannedPoll) pollResult {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	result := pollResult{noCacheEvents: planned.noCacheEvents}
	base := "http://" + planned.host.Address
	result.err = getJSON(ctx, client, base+enginewire.PathLoad, planned.memory, &result.load)
	if result.err != nil || planned.noCacheEvents {
		return result
	}
	path := enginewire.PathCacheEvents + "?after=" + strconv.FormatUint(planned.after, 10)
	err := getJSON(ctx, client, base+path, planned.memory, &result.cache)
	result.noCacheEvents = errors.Is(err, errNoEndpoint)
	return result
}

// getJSON decodes the answer to a GET request into target. What it keeps of the answer is
// claimed from granter.
func getJSON(ctx context.Context, client *http.Client, address string, granter memory.Granter, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	claims := memory.NewClaims(granter)
	defer claims.ReleaseAll()
	content, err := memory.ReadBody(response.Body, response.ContentLength, maxPollBytes, claims)
	if err != nil {
		return Error.Wrap(err)
	}
	if response.StatusCode == http.StatusNotFound {
		return errNoEndpoint
	}
	if response.StatusCode != http.StatusOK {
		return Error.New("status %d", response.StatusCode)
	}
	return Error.Wrap(json.Unmarshal(content, target))
}

// applyPoll applies the result of a poll. A failed one makes the server unreachable
// and keeps its last load report.
func (s *serverTask) applyPoll(ctx context.Context, result pollResult) {
	s.setReachable(result.err == nil, result.err)
	if result.err == nil {
		s.state.Load = result.load
		s.state.LoadAt = s.clock.Now()
		s.noCacheEvents = result.noCacheEvents
		s.applyCache(ctx, result.cache)
	}
	s.publish(ctx)
}

// applyReceivedLoad applies a load report that came with an answer. Only polls read
// cache events.
func (s *serverTask) applyReceivedLoad(ctx context.Context, received loadReceived) {
	s.setReachable(true, nil)
	s.state.Load = received.load
	s.state.LoadAt = s.clock.Now()
	s.publish(ctx)
}

func (s *serverTask) setReachable(reachable bool, cause error) {
	if reachable == s.state.Reachable {
		return
	}
	s.state.Reachable = reachable
	s.logger.Warn("server reachability changed", eventcode.ServerReachability.Attr(),
		"server", s.state.Host.ID, "reachable", reachable, "error", cause)
}

// loadFromHeader decodes the load report in an answer's header, if there is one.
func loadFromHeader(header http.Header) (enginewire.LoadReport, bool) {
	var load enginewire.LoadReport
	text := header.Get(enginewire.HeaderLoad)
	if text == "" {
		return load, false
	}
	err := json.Unmarshal([]byte(text), &load)
	return load, err == nil
}
