package peers

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/rpc"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/task"
)

// Listener is the task that owns the listening socket for other entry hosts. Each
// connection has its own goroutine that serves net/rpc.
type Listener struct {
	socket   task.Socket
	secret   []byte
	server   *rpc.Server
	sent     *metrics.Counter
	received *metrics.Counter
	logger   *slog.Logger
}

// newListener binds the address and registers the receivers. If the address is
// empty, the task accepts no connections.
func newListener(address string, secret []byte, receivers []Receiver, set *metrics.Set, logger *slog.Logger) (*Listener, error) {
	l := &Listener{
		secret:   secret,
		server:   rpc.NewServer(),
		sent:     set.GetOrCreateCounter(metricSent),
		received: set.GetOrCreateCounter(metricReceived),
		logger:   logger,
	}
	for _, receiver := range receivers {
		if err := l.server.RegisterName(receiver.Name, receiver.Object); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if address == "" {
		return l, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, Error.New("cannot bind --peer-address: %w; choose a free address of this host", err)
	}
	l.socket = task.NewSocket(listener)
	return l, nil
}

// Address returns the bound address, or "" if the listener is off.
func (l *Listener) Address() string { return l.socket.Address() }

// String names the task in the logs.
func (l *Listener) String() string { return "peer-listener" }

// Serve accepts connections until the context ends.
func (l *Listener) Serve(ctx context.Context) error {
	if l.Address() == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := l.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	// After a failure the restarted task binds the address again.
	defer func() { _ = listener.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		go l.serve(ctx, conn)
	}
}

func (l *Listener) serve(ctx context.Context, conn net.Conn) {
	counted := countedConn{Conn: conn, sent: l.sent, received: l.received}
	if err := authenticate(counted, l.secret, false); err != nil {
		l.logger.Warn("peer refused", eventcode.PeerRefused.Attr(), "address", conn.RemoteAddr().String(), "error", err)
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	l.server.ServeConn(counted)
}

// exchangeTimeout bounds one exchange of digests, on both sides.
const exchangeTimeout = time.Second

// exchangeReceiver answers the digests of peers.
type exchangeReceiver struct {
	membership task.Mailbox[Message]
}

// Exchange is the net/rpc method of a gossip round.
func (r *exchangeReceiver) Exchange(digest *Digest, answer *Digest) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	result, err := task.Call(ctx, r.membership, func(reply task.Reply[Digest]) Message {
		return digestReceived{digest: *digest, reply: reply}
	})
	*answer = result
	return err
}
