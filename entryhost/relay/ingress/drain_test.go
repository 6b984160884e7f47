package ingress

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/catalog"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

var _ = Describe("a drain under a steady load of callers that return", func() {
	// drain runs a front under a steady load until it is drained and returns the number of
	// requests that ran and of those that were answered.
	drain := func() (int64, int64) {
		GinkgoHelper()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		views := task.NewMailbox[catalog.ViewRequest](64)
		config := routing.NewConfig(1, routing.Limits{MaxBodyBytes: 1000}, nil, nil, nil)
		var ran, answered atomic.Int64
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case request := <-views.C():
					ran.Add(1)
					time.AfterFunc(5*time.Millisecond, func() { request.Reply.Send(&catalog.View{Config: config}) })
				}
			}
		}()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		front := NewFront(listener, Parameters{
			Protocol: fakeProtocol{}, Catalog: views, StopGracePeriod: minPlainTime + 300*time.Millisecond, DeregistrationDelay: 20 * time.Millisecond,
			Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.DiscardHandler),
			Memory: memory.NewBudget(memory.Limits{}.Complete(), clockwork.NewRealClock(), metrics.NewSet(), slog.New(slog.DiscardHandler)),
		})
		served := make(chan error, 1)
		go func() { served <- front.Serve(ctx) }()
		// At any time some of the callers have an open request.
		var callers sync.WaitGroup
		for i := range 60 {
			callers.Go(func() {
				defer GinkgoRecover()
				transport := &http.Transport{MaxIdleConnsPerHost: 1}
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport}
				for pause := 40*time.Millisecond + time.Duration(i)*200*time.Microsecond; ; time.Sleep(pause) {
					request, _ := http.NewRequest(http.MethodPost, "http://"+front.Address()+"/", http.NoBody)
					response, err := client.Do(request)
					if err != nil {
						return
					}
					answered.Add(1)
					Expect(response.StatusCode).To(Equal(http.StatusNotFound))
					_ = response.Body.Close()
					if ctx.Err() != nil {
						return
					}
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		drainCtx, cancelDrain := context.WithTimeout(ctx, 5*time.Second)
		defer cancelDrain()
		Expect(front.Drain(drainCtx)).To(Succeed(), "%d connections are busy", front.busy.Load())
		Eventually(served).Should(Receive())
		cancel()
		callers.Wait()
		return ran.Load(), answered.Load()
	}

	It("ends and answers all requests that it has begun, although there is always an open one", func() {
		for range 5 {
			ran, answered := drain()
			Expect(answered).To(Equal(ran))
		}
	})
})
