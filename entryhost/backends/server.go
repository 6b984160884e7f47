package backends

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/httpresponse"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// serverMailboxSize bounds the commands not yet handled by a server task. While
	// the mailbox is full, senders wait, at most until their deadline.
	serverMailboxSize = 256
	// connectTimeout bounds the time to connect to a backend server.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout closes pooled connections before common server-side limits do.
	idleTimeout = 20 * time.Second
	// maxIdleConnections bounds the pooled connections to one server.
	maxIdleConnections = 64
)

// serverTask owns the transport, load report and cache position of one server.
type serverTask struct {
	commands  task.Mailbox[Command]
	events    task.Mailbox[Event]
	observers []task.Mailbox[Event]
	clock     clockwork.Clock
	polling   Polling
	random    *rand.Rand
	logger    *slog.Logger

	// servers is the number of servers that share the poll rate.
	servers int
	// pollDue ends the wait of the planned poll; its capacity is 1.
	pollDue chan struct{}
	state   ServerState
	cache   cachePosition
	// firstPollPlanned is true once the first poll was planned.
	firstPollPlanned bool
	// noCacheEvents is true if the server does not implement cache events.
	noCacheEvents bool
	// pooled reuses connections; unpooled opens one for each call.
	pooled   *httpresponse.Transport
	unpooled *httpresponse.Transport
}

func newServerTask(host model.Host, events task.Mailbox[Event], observers []task.Mailbox[Event], clock clockwork.Clock, polling Polling, logger *slog.Logger) *serverTask {
	commands := task.NewMailbox[Command](serverMailboxSize)
	return &serverTask{
		commands:  commands,
		events:    events,
		observers: observers,
		clock:     clock,
		polling:   polling,
		random:    rand.New(rand.NewPCG(polling.Seed, jitterStream(host.ID))),
		servers:   1,
		logger:    logger,
		state:     ServerState{Host: host, Reachable: true, Commands: commands, Generation: 1},
	}
}

// jitterStream returns the number of the random stream of a server, so that each
// has its own jitter.
func jitterStream(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}

// String names the task in the logs.
func (s *serverTask) String() string { return "server/" + s.state.Host.ID }

// Serve runs the task until the context ends. After a panic the supervisor
// calls it again with the last snapshot and a new transport.
func (s *serverTask) Serve(ctx context.Context) error {
	s.openTransports()
	defer s.closeTransports()
	s.publish(ctx)
	pollContext, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.poll(pollContext, s.nextPoll())
	for {
		select {
		case <-ctx.Done():
			return nil
		case command := <-s.commands.C():
			s.handle(ctx, pollContext, command)
		}
	}
}

func (s *serverTask) handle(ctx, pollContext context.Context, command Command) {
	switch command := command.(type) {
	case OpenStream:
		stream := &streamTask{client: &http.Client{Transport: s.pooled}, address: s.state.Host.Address, generation: s.state.Generation, open: command, commands: s.commands}
		go stream.run()
	case OpenExchange:
		exchange := &exchangeTask{client: s.exchangeClient(command.Repeatable), address: s.state.Host.Address, open: command}
		go exchange.run()
	case SendOrder:
		go s.sendOrder(command, s.state.Host.Address, &http.Client{Transport: s.pooled})
	case ReportSilence:
		s.replaceTransport(ctx, command)
	case hostUpdate:
		s.updateHost(ctx, command.host)
	case pollResult:
		s.applyPoll(ctx, command)
		go s.poll(pollContext, s.nextPoll())
	case loadReceived:
		s.applyReceivedLoad(ctx, command)
	case PollNow:
		s.pollNow()
	case poolSize:
		s.servers = command.servers
	}
}

func (s *serverTask) openTransports() {
	dialer := &net.Dialer{Timeout: connectTimeout}
	s.pooled = httpresponse.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	})
	s.unpooled = httpresponse.NewTransport(&http.Transport{
		DialContext:        dialer.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
}

func (s *serverTask) closeTransports() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}

// exchangeClient returns the client for a call; see OpenExchange.Repeatable.
func (s *serverTask) exchangeClient(repeatable bool) *http.Client {
	client := &http.Client{Transport: s.unpooled, CheckRedirect: returnRedirect}
	if repeatable {
		client.Transport = s.pooled
	}
	return client
}

// returnRedirect returns redirects to the caller instead of following them.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// replaceTransport replaces the transport, unless that has happened since the
// generation of the report.
func (s *serverTask) replaceTransport(ctx context.Context, report ReportSilence) {
	if report.Generation != s.state.Generation {
		return
	}
	s.closeTransports()
	s.state.Generation++
	s.openTransports()
	s.logger.Warn("transport replaced after a silent connection", eventcode.TransportReplaced.Attr(), "server", s.state.Host.ID, "generation", s.state.Generation)
	s.publish(ctx)
}

func (s *serverTask) updateHost(ctx context.Context, host model.Host) {
	if host == s.state.Host {
		return
	}
	s.state.Host = host
	s.publish(ctx)
}

// publish sends the snapshot to admission and to observers. It blocks while the
// mailbox of admission is full, because a lost change could send work to a leaving
// server; admission never blocks on a server task.
func (s *serverTask) publish(ctx context.Context) {
	changed := ServerChanged{State: s.state}
	_ = s.events.Send(ctx, changed)
	notifyObservers(s.observers, changed)
}

func (s *serverTask) applyCache(ctx context.Context, page enginewire.CacheEvents) {
	next, stored, evicted, reset := s.cache.advance(page)
	s.cache = next
	if len(stored)+len(evicted) == 0 && !reset {
		return
	}
	_ = s.events.Send(ctx, CacheChanged{
		ID: model.ServerID(s.state.Host.ID), Service: s.state.Host.Service,
		Reset: reset, Stored: stored, Evicted: evicted,
	})
}

// sendOrder sends one order to the server and its outcome to the caller.
func (s *serverTask) sendOrder(command SendOrder, address string, client *http.Client) {
	var outcome OrderOutcome
	outcome.Result, outcome.Err = postOrder(command.Context, client, address, command.Order)
	command.Reply.Send(outcome)
}

func postOrder(ctx context.Context, client *http.Client, address string, order enginewire.Order) (enginewire.OrderResult, error) {
	var result enginewire.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+enginewire.PathOrders, strings.NewReader(string(body)))
	if err != nil {
		return result, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return result, Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&result); err != nil {
		return result, Error.Wrap(err)
	}
	return result, nil
}
