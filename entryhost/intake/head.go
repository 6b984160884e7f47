package intake

import (
	"bytes"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/series"
	"github.com/lentilpoint/lentilpoint/eventcode"
)

const (
	// unclaimedHead is the cost of a head that is kept without a claim: about 4 KB, or 30
	// lines.
	unclaimedHead = 8 << 10
	// headStep is the size of a claim for a larger head. The largest head takes four.
	headStep = 64 << 10
	// headLineCost is what a header line takes beside its bytes: measured were 200 bytes
	// for heads of 490 short lines, with the copy that is forwarded.
	headLineCost = 256
	// headLogInterval is the shortest time between two log lines about heads.
	headLogInterval = 10 * time.Second
	// refusalTimeout bounds the write of the refusal of a head, which fits into the buffer
	// of an idle connection.
	refusalTimeout = 100 * time.Millisecond
)

// The responses to heads that are not read to their end.
const (
	responseHeadTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	responseNoRoom      = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n"
)

// headCounter counts the bytes and lines of one head as they arrive.
type headCounter struct {
	bytes, lines int
	// lineBytes is the length of the current line, without a carriage return.
	lineBytes int
	// begun is set with the first byte that is not of an empty line. net/http skips empty
	// lines before some requests.
	begun bool
	ended bool
}

// count adds bytes of a connection up to the end of the head.
func (h *headCounter) count(content []byte) {
	if !h.begun {
		rest := bytes.TrimLeft(content, "\r\n")
		empty := content[:len(content)-len(rest)]
		h.bytes += len(empty)
		h.lines += bytes.Count(empty, []byte("\n"))
		h.begun, content = len(rest) > 0, rest
	}
	for !h.ended && len(content) > 0 {
		end := bytes.IndexByte(content, '\n')
		if end < 0 {
			h.bytes += len(content)
			h.lineBytes += lengthWithoutCR(content)
			return
		}
		h.bytes += end + 1
		h.ended = h.lineBytes+lengthWithoutCR(content[:end]) == 0
		h.lines++
		h.lineBytes, content = 0, content[end+1:]
	}
}

func lengthWithoutCR(line []byte) int { return len(bytes.TrimSuffix(line, []byte("\r"))) }

// cost returns the memory that the head takes when net/http has parsed it. The line
// and its copy in the request are counted as twice the bytes.
func (h *headCounter) cost() int64 { return int64(2*h.bytes + headLineCost*h.lines) }

// Guard holds what the connections of a socket share. It does not change except for its
// counters.
type Guard struct {
	budget   *memory.Budget
	clock    clockwork.Clock
	metrics  *metrics.Set
	logger   *slog.Logger
	refused  atomic.Int64
	loggedAt atomic.Int64
}

// NewGuard returns the guard of a socket.
func NewGuard(budget *memory.Budget, clock clockwork.Clock, set *metrics.Set, logger *slog.Logger) *Guard {
	return &Guard{budget: budget, clock: clock, metrics: set, logger: logger}
}

// refuse counts a refused head, and writes at most one log line in each headLogInterval.
func (g *Guard) refuse(reason string) {
	g.metrics.GetOrCreateCounter(series.Name("lentilpoint_heads_refused_total", "reason", reason)).Inc()
	refused, now, last := g.refused.Add(1), g.clock.Now().UnixNano(), g.loggedAt.Load()
	if now-last >= int64(headLogInterval) && g.loggedAt.CompareAndSwap(last, now) {
		g.logger.Warn("heads refused", eventcode.HeadsRefused.Attr(), "reason", reason, "refused_since_start", refused, "line_limit", g.budget.Limits().HeadLines)
	}
}

// AdmitBytes counts bytes of a head that were read and claims the memory that it takes. It returns false
// if the head is refused. Bytes that are not of a head are always admitted.
func (g *Gate) AdmitBytes(content []byte) bool {
	if g.guard == nil || g.stage.Load() != stageHead || g.head.ended {
		return true
	}
	g.head.count(content)
	return g.admitHead(g.head)
}

// AdmitHeader claims the memory of a header that net/http has parsed, as far as it was not
// claimed when its bytes were read: the head may have been read together with the body of the
// request before it. It returns false if the head is refused.
func (g *Gate) AdmitHeader(header http.Header) bool {
	if g.guard == nil {
		return true
	}
	// The request line, and the empty line at the end.
	parsed := headCounter{lines: 2}
	for name, values := range header {
		parsed.lines += len(values)
		for _, value := range values {
			parsed.bytes += len(name) + len(": \r\n") + len(value)
		}
	}
	return g.admitHead(parsed)
}

// admitHead claims what a head takes. It returns false if the head is refused.
func (g *Gate) admitHead(head headCounter) bool {
	if head.lines > g.guard.budget.Limits().HeadLines {
		g.guard.refuse("lines")
		g.sendRefusal(responseHeadTooLong)
		return false
	}
	for cost := head.cost(); cost > unclaimedHead && cost > g.headClaimed; g.headClaimed += headStep {
		if !g.Claim(headStep) {
			g.guard.refuse("memory")
			g.sendRefusal(responseNoRoom)
			return false
		}
	}
	return true
}

// sendRefusal answers a head that net/http has not read to its end. The connection is
// closed after it.
func (g *Gate) sendRefusal(response string) {
	_ = g.conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = g.conn.Write([]byte(response))
	if half, supported := g.conn.(interface{ CloseWrite() error }); supported {
		_ = half.CloseWrite()
	}
}
