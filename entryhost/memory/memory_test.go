package memory

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMemory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memory")
}

var limits = Limits{Memory: 144_000_000, Descriptors: 3075}.Complete()

var _ = Describe("the decision on a claim", func() {
	now := time.Unix(1000, 0)
	const body = 4 << 20
	var l *ledger

	holder := func() *Holder { return NewHolder(func() bool { return true }) }
	fill := func(bytes int64) *Holder {
		h := holder()
		h.Receive(int(bytes))
		l.add(h, bytes, now)
		return h
	}

	BeforeEach(func() { l = newLedger(limits) })

	It("grants one large request beside small ones more than the budget, so that every legal request is served in calm", func() {
		for range 20 {
			fill(SmallClaim)
		}
		Expect(l.fits(holder(), limits.Budget+body)).To(BeTrue())
		fill(limits.Budget)
		Expect(l.fits(holder(), body)).To(BeFalse())
	})

	It("keeps the reserve for small requests when large ones have used up the budget", func() {
		for l.fits(holder(), body) {
			fill(body)
		}
		Expect(l.used).To(BeNumerically("<=", limits.Budget))
		Expect(l.fits(holder(), SmallClaim)).To(BeTrue())
	})

	It("takes room from a body that stalls, and refuses the newest large one if none does", func() {
		stalled, moving := fill(body), fill(body)
		later := now.Add(limits.StallTime)
		Expect(l.nextToYield(holder(), body, now)).To(BeNil())
		l.observe(now)
		moving.Receive(1)
		l.observe(later)
		Expect(l.nextToYield(holder(), body, later).holder).To(BeIdenticalTo(stalled))
		l.holdings[stalled].yielding = true
		Expect(l.nextToYield(holder(), body, later)).To(BeNil())
	})

	It("takes room from the slowest body for a small request, but not from one that is complete", func() {
		slow, fast := fill(body), fill(2*body)
		slow.received.Store(10)
		Expect(l.nextToYield(holder(), SmallClaim, now).holder).To(BeIdenticalTo(slow))
		l.holdings[slow].settled = true
		Expect(l.nextToYield(holder(), SmallClaim, now).holder).To(BeIdenticalTo(fast))
	})
})

var _ = Describe("the budget", func() {
	It("makes a claim wait until the holder that gives way has released, so that both are never kept", func(ctx SpecContext) {
		budget := NewBudget(Limits{Memory: 1 << 20, Budget: 1 << 18, Reserve: 1}.Complete(), clockwork.NewRealClock(), metrics.NewSet(), slog.New(slog.DiscardHandler))
		running, stop := context.WithCancel(ctx)
		DeferCleanup(stop)
		go func() { _ = budget.Serve(running) }()
		yielded := make(chan bool, 1)
		first := NewHolder(func() bool { yielded <- true; return true })
		Expect(budget.ClaimFor(first, 1<<18)).To(BeTrue())
		granted := make(chan bool, 1)
		go func() { granted <- budget.ClaimFor(NewHolder(nil), SmallClaim) }()
		Eventually(yielded).Should(Receive())
		Consistently(granted, "50ms").ShouldNot(Receive())
		budget.ReleaseAll(first)
		Eventually(granted).Should(Receive(BeTrue()))
		Expect(budget.Claim(1 << 18)).To(BeFalse())
	})
})

// countingClaimant grants up to a number of bytes.
type countingClaimant struct{ held, most, limit int64 }

func (c *countingClaimant) Claim(bytes int64) bool {
	c.held += bytes
	c.most = max(c.most, c.held)
	return c.held <= c.limit
}
func (c *countingClaimant) Release(bytes int64) { c.held -= bytes }
func (c *countingClaimant) Receive(int)         {}

var _ = Describe("reading a body", func() {
	DescribeTable("keeps what arrived and claims at most half more than the limit",
		func(size int, length, limit int64, expected error) {
			claimant := &countingClaimant{limit: 1 << 30}
			content := strings.Repeat("x", size)
			got, err := ReadBody(iotest.OneByteReader(strings.NewReader(content)), length, limit, claimant)
			if expected != nil {
				Expect(err).To(MatchError(expected))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(content))
			Expect(claimant.most).To(BeNumerically("<=", max(limit, int64(size))*3/2+1))
		},
		Entry("empty", 0, int64(0), int64(10), nil),
		Entry("small", 10, int64(10), int64(10), nil),
		Entry("of the limit", 300_000, int64(300_000), int64(300_000), nil),
		Entry("of the limit without a stated length", 300_000, int64(-1), int64(300_000), nil),
		Entry("over the limit without a stated length", 300_001, int64(-1), int64(300_000), ErrTooLarge),
		Entry("stated to be over the limit", 0, int64(11), int64(10), ErrTooLarge),
	)

	It("claims nothing for a stated length of which nothing arrives, and ends without room", func() {
		claimant := &countingClaimant{}
		_, err := ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 4<<20, 4<<20, claimant)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(claimant.most).To(BeZero())
		_, err = ReadBody(strings.NewReader(strings.Repeat("x", 10_000)), 10_000, 4<<20, claimant)
		Expect(err).To(MatchError(ErrNoRoom))
	})
})

// stagedConn is at one stage until it is closed.
type stagedConn struct {
	net.Conn
	stage   Stage
	address string
	ended   bool
}

func (c *stagedConn) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.ParseIP(c.address)} }
func (c *stagedConn) Ended() bool          { return c.ended }
func (c *stagedConn) Close() error         { c.ended = true; return nil }
func (c *stagedConn) YieldAt(stage Stage) bool {
	c.ended = c.ended || c.stage == stage
	return c.stage == stage
}

var _ = Describe("a table of connections", func() {
	admit := func(conns ...*stagedConn) {
		table := NewTable("test", 3, clockwork.NewFakeClock(), metrics.NewSet(), slog.New(slog.DiscardHandler))
		for _, conn := range conns {
			table.Admit(conn)
		}
	}

	It("closes the oldest silent connection of the address with most of them, and not one with a request", func() {
		busy, other := &stagedConn{stage: stages, address: "::1"}, &stagedConn{address: "::2"}
		first, second := &stagedConn{address: "::1"}, &stagedConn{address: "::1"}
		admit(busy, other, first, second)
		Expect([]bool{busy.ended, other.ended, first.ended, second.ended}).To(Equal([]bool{false, false, true, false}))
	})

	It("closes the new connection if all others have a request", func() {
		busy, late := &stagedConn{stage: stages, address: "::1"}, &stagedConn{address: "::2"}
		admit(busy, busy, busy, late)
		Expect(busy.ended).To(BeFalse())
		Expect(late.ended).To(BeTrue())
	})
})
