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
	// linkMailboxSize bounds the calls that wait for a link. A full mailbox
	// fails the call as unreachable.
	linkMailboxSize = 128
	// dialTimeout bounds a new connection to a peer.
	dialTimeout = time.Second
	// linkIdle closes the connection of a link that had no call for this time.
	linkIdle = 2 * time.Minute
	// silenceTimeout is the shortest unanswered call that can close a connection.
	// A caller with a shorter deadline must not cut the calls of others.
	silenceTimeout = 500 * time.Millisecond
)

// linkConfig is what all links of a host share.
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
	// answered is when a call on the client was last answered.
	answered time.Time
}

// linkMessage is an Invoke, or the report of how a call on a client ended.
type linkMessage struct {
	invoke Invoke
	ended  *callEnd
}

// callEnd tells the link task how a call ended.
type callEnd struct {
	client  *rpc.Client
	started time.Time
	// answered is false when the call was not answered in time; broken is true
	// when its connection failed.
	answered bool
	broken   bool
}

// callResult tells the membership task how a direct call ended.
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

// Serve passes calls on to the peer until the context ends.
func (l *linkTask) Serve(ctx context.Context) error {
	defer l.close()
	idle := time.NewTimer(linkIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-idle.C:
			l.close()
		case message := <-l.calls.C():
			idle.Reset(linkIdle)
			l.handle(ctx, message)
		}
	}
}

func (l *linkTask) close() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

func (l *linkTask) handle(ctx context.Context, message linkMessage) {
	if message.ended != nil {
		l.noteEnd(*message.ended)
		return
	}
	invoke := message.invoke
	if err := l.connect(invoke.Context); err != nil {
		l.report(false)
		invoke.Reply.Send(ErrUnreachable.Wrap(err))
		return
	}
	call := l.client.Go(invoke.Method, invoke.Arguments, invoke.Result, make(chan *rpc.Call, 1))
	go l.await(ctx, callEnd{client: l.client, started: l.config.clock.Now()}, call, invoke)
}

// noteEnd closes a connection that failed, or on which nothing was answered
// since an unanswered call began: a silent connection would swallow later calls.
func (l *linkTask) noteEnd(end callEnd) {
	if end.client != l.client {
		return
	}
	if end.answered {
		l.answered = l.config.clock.Now()
		return
	}
	silent := l.answered.Before(end.started) && l.config.clock.Since(end.started) >= silenceTimeout
	if end.broken || silent {
		l.close()
	}
}

// await ends a call. An error of the called method leaves the connection in order.
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
	l.report(end.answered)
	_ = l.calls.Send(ctx, linkMessage{ended: &end})
	if !end.answered {
		err = ErrUnreachable.Wrap(err)
	}
	invoke.Reply.Send(err)
}

func (l *linkTask) report(reached bool) {
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
