package memory

import (
	"log/slog"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

// Stage is how far a connection is, in the order in which connections are closed to make
// room for others.
type Stage int

// The stages of a connection that may be closed.
const (
	// StageSilent connections have sent no byte.
	StageSilent Stage = iota
	// StageHead connections have sent a part of a head.
	StageHead
	// StageIdle connections wait for their next request.
	StageIdle
	// StageBody connections have sent a part of a body.
	StageBody
	stages
)

// Connection is an open connection of a Table.
type Connection interface {
	net.Conn
	// Ended reports whether the connection is closed.
	Ended() bool
	// YieldAt closes the connection, or lets it end soon, if it is at the stage, and
	// reports whether it was.
	YieldAt(stage Stage) bool
}

// Table bounds the open connections of one listening socket. The goroutine that accepts
// connections owns it.
type Table struct {
	limit  int
	open   []entry
	closed *metrics.Counter
	socket string
	clock  clockwork.Clock
	logger *slog.Logger
	// count is the number of connections closed since loggedAt.
	count    int
	loggedAt time.Time
}

// entry is a connection that has not ended as far as its table knows.
type entry struct {
	conn    Connection
	address string
	// yielding is set once the connection was told to end. A refusal takes up to 0.5 s, in
	// which it still has its descriptor.
	yielding bool
}

// NewTable returns a table for the named socket.
func NewTable(socket string, limit int, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Table {
	return &Table{limit: limit, socket: socket, clock: clock, logger: logger,
		closed: set.GetOrCreateCounter(series.Name("lentilpoint_connections_closed_total", "socket", socket))}
}

// largest returns the number of connections including those that were told to end. More
// are closed at once.
func (t *Table) largest() int { return t.limit + t.limit/4 }

// Admit adds a connection. At the limit it closes a few others, or the new one if none of
// them can be closed.
func (t *Table) Admit(conn Connection) {
	t.open = append(t.open, entry{conn: conn, address: addressOf(conn)})
	if len(t.open) <= t.limit {
		return
	}
	t.removeEnded()
	if excess := t.staying() - t.limit; excess > 0 {
		// Some more than needed, so that not each new connection has to look at all.
		t.makeRoom(excess + t.limit/32)
		t.removeEnded()
	}
	if t.staying() > t.limit || len(t.open) > t.largest() {
		t.countClosed()
		_ = conn.Close()
	}
	t.writeLog()
}

// staying returns the number of connections that were not told to end.
func (t *Table) staying() int {
	var staying int
	for _, entry := range t.open {
		if !entry.yielding {
			staying++
		}
	}
	return staying
}

func (t *Table) removeEnded() {
	t.open = slices.DeleteFunc(t.open, func(e entry) bool { return e.conn.Ended() })
}

// makeRoom tells connections to end. It takes the earliest stage first, in it those of the
// address that has most connections, and of these the oldest. The newest is the one that
// needs the room.
func (t *Table) makeRoom(wanted int) {
	crowded := t.crowdedAddress()
	for stage := range stages {
		for _, anyAddress := range []bool{false, true} {
			for i := range t.open[:len(t.open)-1] {
				entry := &t.open[i]
				if wanted == 0 {
					return
				}
				if !entry.yielding && (anyAddress || entry.address == crowded) && entry.conn.YieldAt(stage) {
					entry.yielding = true
					wanted--
					t.countClosed()
				}
			}
		}
	}
}

func (t *Table) countClosed() {
	t.count++
	t.closed.Inc()
}

// crowdedAddress returns the address that has most connections.
func (t *Table) crowdedAddress() string {
	counts, most := map[string]int{}, ""
	for _, entry := range t.open {
		if counts[entry.address]++; counts[entry.address] > counts[most] {
			most = entry.address
		}
	}
	return most
}

func addressOf(conn net.Conn) string {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return host
}

// writeLog writes at most one line in each logInterval.
func (t *Table) writeLog() {
	if now := t.clock.Now(); t.count > 0 && now.Sub(t.loggedAt) >= logInterval {
		t.logger.Warn("connections closed", eventcode.ConnectionsClosed.Attr(), "socket", t.socket, "limit", t.limit, "closed", t.count)
		t.count, t.loggedAt = 0, now
	}
}

// Listener bounds the connections of a socket whose requests take little time, so that
// its oldest connection can be closed at any time.
type Listener struct {
	net.Listener

	Table *Table
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &shortConn{Conn: accepted}
	l.Table.Admit(conn)
	return conn, nil
}

// shortConn is a connection that can be closed at any time.
type shortConn struct {
	net.Conn

	ended atomic.Bool
}

// Close implements net.Conn.
func (c *shortConn) Close() error {
	c.ended.Store(true)
	return c.Conn.Close()
}

// Ended implements Connection.
func (c *shortConn) Ended() bool { return c.ended.Load() }

// YieldAt implements Connection.
func (c *shortConn) YieldAt(Stage) bool {
	_ = c.Close()
	return true
}
