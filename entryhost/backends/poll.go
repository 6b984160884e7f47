package backends

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// pollTimeout bounds one read of load and cache events.
	pollTimeout = time.Second
	// maxPollBytes bounds one answer to a poll.
	maxPollBytes = 4 << 20
)

// errNoEndpoint reports that a server lacks a part of the protocol.
var errNoEndpoint = Error.New("the server has no such endpoint")

// Polling bounds the reads of load reports of one entry host.
type Polling struct {
	// Interval is the shortest mean time between two polls of one server.
	Interval time.Duration
	// Rate bounds the polls of all servers in a second, so that their cost does
	// not grow with the number of servers. Reports also come with the answers of
	// engines, so that servers in use are rarely polled.
	Rate float64
	// Seed starts the random jitter of the polls.
	Seed uint64
}

// intervalFor returns the mean time between polls of one of this many servers.
func (p Polling) intervalFor(servers int) time.Duration {
	if p.Rate <= 0 {
		return p.Interval
	}
	return max(p.Interval, time.Duration(float64(servers)/p.Rate*float64(time.Second)))
}

// plannedPoll is what the next poll of a server needs.
type plannedPoll struct {
	// wait is the time before the poll, spread around the interval.
	wait  time.Duration
	host  model.Host
	after uint64
	// cacheless skips the cache events of a server that has none.
	cacheless bool
}

// pollResult is what a poll read.
type pollResult struct {
	load      enginewire.LoadReport
	cache     enginewire.CacheEvents
	cacheless bool
	err       error
}

// loadHeard is a load report that came with an engine's answer.
type loadHeard struct{ load enginewire.LoadReport }

// PollNow asks for a poll at once, for a decision that needs a fresh report.
type PollNow struct{}

// poolSize tells a server task how many servers share the poll rate.
type poolSize struct{ servers int }

func (pollResult) command() {}
func (loadHeard) command()  {}
func (poolSize) command()   {}
func (PollNow) command()    {}

// firstPollPart of the interval passes before the first poll of a server, which
// takes no work before its versions are known.
const firstPollPart = 10

// nextPoll plans the next poll. A server that was never heard of is polled soon,
// and from the second time on once per interval.
func (s *serverTask) nextPoll() plannedPoll {
	interval := s.polling.intervalFor(s.servers)
	if s.state.LoadAt.IsZero() {
		interval = s.polling.Interval
	}
	if !s.polled {
		s.polled = true
		interval /= firstPollPart
	}
	return plannedPoll{
		wait:      interval/2 + time.Duration(s.random.Int64N(int64(interval)+1)),
		host:      s.state.Host,
		after:     s.cache.sequence,
		cacheless: s.cacheless,
	}
}

// pollSoon ends the wait of the poll that is planned.
func (s *serverTask) pollSoon() {
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
	// A connection for each poll also tells whether the server accepts new ones.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_ = s.commands.Send(ctx, readServer(ctx, client, planned))
}

func readServer(ctx context.Context, client *http.Client, planned plannedPoll) pollResult {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	result := pollResult{cacheless: planned.cacheless}
	base := "http://" + planned.host.Address
	result.err = getJSON(ctx, client, base+enginewire.PathLoad, &result.load)
	if result.err != nil || planned.cacheless {
		return result
	}
	path := enginewire.PathCacheEvents + "?after=" + strconv.FormatUint(planned.after, 10)
	err := getJSON(ctx, client, base+path, &result.cache)
	result.cacheless = errors.Is(err, errNoEndpoint)
	return result
}

func getJSON(ctx context.Context, client *http.Client, address string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxPollBytes))
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

// applyPoll takes over the result of a poll.
func (s *serverTask) applyPoll(ctx context.Context, result pollResult) {
	s.setReachable(result.err == nil, result.err)
	if result.err == nil {
		s.state.Load = result.load
		s.state.LoadAt = s.clock.Now()
		s.cacheless = result.cacheless
		s.applyCache(ctx, result.cache)
	}
	s.publish(ctx)
}

// applyHeard takes over a report that came with an answer. The position in the
// cache events is left to the polls.
func (s *serverTask) applyHeard(ctx context.Context, heard loadHeard) {
	s.setReachable(true, nil)
	s.state.Load = heard.load
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

// heardLoad decodes the load report in an answer's header.
func heardLoad(header http.Header) (enginewire.LoadReport, bool) {
	var load enginewire.LoadReport
	text := header.Get(enginewire.HeaderLoad)
	if text == "" {
		return load, false
	}
	err := json.Unmarshal([]byte(text), &load)
	return load, err == nil
}
