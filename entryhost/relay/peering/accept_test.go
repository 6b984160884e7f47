package peering

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// exhaustedListener fails to accept, as for want of file descriptors.
type exhaustedListener struct{ net.Listener }

func (exhaustedListener) Accept() (net.Conn, error) { return nil, syscall.EMFILE }

// Guards against a listener that keeps its address after a failure, so that its
// restarted task can never bind it again.
func TestAListenerServesAgainAfterItFailedToAccept(t *testing.T) {
	g := gomega.NewWithT(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	logger, clock := slog.New(slog.DiscardHandler), clockwork.NewRealClock()
	budget := memory.NewBudget(memory.Limits{}.Complete(), clock, metrics.NewSet(), logger)
	listener := NewListener(exhaustedListener{bound}, budget, memory.NewTable("peers", 10, clock, metrics.NewSet(), logger), map[string]task.Mailbox[mirror.ChangesRequest]{}, task.NewMailbox[dispatch.Message](1),
		task.NewMailbox[suspects.Message](1), task.NewMailbox[loads.Exchange](1), task.NewMailbox[moves.StateRequest](1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.Expect(listener.Serve(ctx)).To(gomega.MatchError(syscall.EMFILE))
	served := make(chan error, 1)
	go func() { served <- listener.Serve(ctx) }()
	g.Consistently(served, 100*time.Millisecond).ShouldNot(gomega.Receive())
	cancel()
	g.Eventually(served, 5*time.Second).Should(gomega.Receive(gomega.BeNil()))
}
