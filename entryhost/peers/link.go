package peers

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// linkMailboxSize bounds the calls queued for a link. If the mailbox is full,
	// the call fails with ErrUnreachable.
	linkMailboxSize = 128
	// dialTimeout bounds opening a connection to a peer, before the handshake.
	dialTimeout = time.Second
	// linkIdleTimeout is the time without a call after which a link closes its
	// connection.
	linkIdleTimeout = 2 * time.Minute
	// silenceTimeout is the minimum duration of an unanswered call that closes the
	// connection. A caller with a shorter deadline must not cut off other calls on
	// it.
	silenceTimeout = 500 * time.Millisecond
)

// linkConfig holds the settings and dependencies that all links of a host share.
type linkConfig struct {
	secret   []byte
	sent     *metrics.Counter
	received *metrics.Counter
	// results receives the outcome of each call, for the membership table.
	results task.Mailbox[Message]
	clock   clockwork.Clock
}

// linkTask owns the connection to one peer.
type linkTask struct {
	config  linkConfig
	peer    model.HostID
	address string
	calls   task.Mailbox[linkMessage]
	client  *rpc.Client
	// lastAnswer is when a call on the client last received an answer.
	lastAnswer time.Time
}

// linkMessage holds the end of a call if ended is set, and otherwise a new call.
type linkMessage struct {
	invoke Invoke
	ended  *callEnd
}

// callEnd is the end of a call, sent to the link task.
type callEnd struct {
	client  *rpc.Client
	started time.Time
	// answered is true if an answer arrived before the deadline, even if it was an
	// error of the called method.
	answered bool
	// broken is true if the connection failed.
	broken bool
}

// callResult is the outcome of a direct call, sent to the membership task.
type callResult struct {
	peer    model.HostID
	reached bool
}

func (callResult) peersMessage() {}

func newLinkTask(peer model.HostID, address string, config linkConfig) *linkTask {
	return &linkTask{config: config, peer: peer, address: address, calls: task.NewMailbox[linkMessage](linkMailboxSize)}
}

// String names the task in the logs.
func (l *linkTask) String() string { return "link/" + string(l.peer) }

// Serve sends calls to the peer until the context ends.
func (l *linkTask) Serve(ctx context.Context) error {
	defer l.close()
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			l.close()
		case message := <-l.calls.C():
			idle.Reset(linkIdleTimeout)
			l.handleMessage(ctx, message)
		}
	}
}

func (l *linkTask) close() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

func (l *linkTask) handleMessage(ctx context.Context, message linkMessage) {
	if message.ended != nil {
		l.handleCallEnd(*message.ended)
		return
	}
	invoke := message.invoke
	if err := l.connect(invoke.Context); err != nil {
		l.reportResult(false)
		invoke.Reply.Send(ErrUnreachable.Wrap(err))
		return
	}
	call := l.client.Go(invoke.Method, invoke.Arguments, invoke.Result, make(chan *rpc.Call, 1))
	go l.await(ctx, callEnd{client: l.client, started: l.config.clock.Now()}, call, invoke)
}

// handleCallEnd closes a connection that failed, or that has answered no call since
// an unanswered call began at least silenceTimeout ago. Otherwise later calls
// would time out on it as well.
func (l *linkTask) handleCallEnd(end callEnd) {
	if end.client != l.client {
		return
	}
	if end.answered {
		l.lastAnswer = l.config.clock.Now()
		return
	}
	silent := l.lastAnswer.Before(end.started) && l.config.clock.Since(end.started) >= silenceTimeout
	if end.broken || silent {
		l.close()
	}
}

// await waits for the end of a call and reports it. An error that the called method
// returned counts as an answer and does not break the connection.
func (l *linkTask) await(ctx context.Context, end callEnd, call *rpc.Call, invoke Invoke) {
	var err error
	select {
	case <-call.Done:
		err = call.Error
		var remote rpc.ServerError
		end.answered = err == nil || errors.As(err, &remote)
		end.broken = !end.answered
	case <-invoke.Context.Done():
		err = context.Cause(invoke.Context)
	}
	l.reportResult(end.answered)
	_ = l.calls.Send(ctx, linkMessage{ended: &end})
	if !end.answered {
		err = ErrUnreachable.Wrap(err)
	}
	invoke.Reply.Send(err)
}

func (l *linkTask) reportResult(reached bool) {
	_ = l.config.results.TrySend(callResult{peer: l.peer, reached: reached})
}

func (l *linkTask) connect(ctx context.Context) error {
	if l.client != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return Error.Wrap(err)
	}
	counted := countedConn{Conn: conn, sent: l.config.sent, received: l.config.received}
	if err := authenticate(counted, l.config.secret, true); err != nil {
		_ = conn.Close()
		return err
	}
	l.client = rpc.NewClient(counted)
	return nil
}
