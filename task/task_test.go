package task_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"github.com/lentilpoint/lentilpoint/task"
)

func TestTask(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "task")
}

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

var _ = Describe("a mailbox", func() {
	It("refuses a message when it is full, as it must not grow without bound", func() {
		mailbox := task.NewMailbox[int](1)
		Expect(mailbox.TrySend(1)).To(Succeed())
		Expect(mailbox.TrySend(2)).To(MatchError(task.ErrMailboxFull))
	})

	It("ends a call at its deadline when the task never answers", func() {
		mailbox := task.NewMailbox[task.Reply[int]](1)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := task.Call(ctx, mailbox, func(reply task.Reply[int]) task.Reply[int] { return reply })
		Expect(err).To(MatchError(context.DeadlineExceeded))
	})

	It("does not block a task that answers a call twice, and drops the second answer", func() {
		answers := make(chan int, 1)
		reply := task.Reply[int](answers)
		reply.Send(1)
		reply.Send(2)
		Expect(<-answers).To(Equal(1))
	})
})

var _ = Describe("a supervisor", func() {
	It("restarts only the child that panics, so that its sibling keeps its state", func() {
		leaks := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(leaks)).To(Succeed()) })
		starts := make(chan string, 16)
		failed := false
		panicking := task.Func{Name: "panicking", Run: func(ctx context.Context) error {
			starts <- "panicking"
			if !failed {
				failed = true
				panic("injected")
			}
			<-ctx.Done()
			return nil
		}}
		sibling := task.Func{Name: "sibling", Run: func(ctx context.Context) error {
			starts <- "sibling"
			<-ctx.Done()
			return nil
		}}
		supervisor := task.NewSupervisor("test", task.DefaultRestartPolicy, discardLogger)
		supervisor.Add(sibling)
		supervisor.Add(panicking)
		ctx, cancel := context.WithCancel(context.Background())
		done := supervisor.ServeBackground(ctx)
		counts := map[string]int{}
		for range 3 {
			counts[<-starts]++
		}
		cancel()
		<-done
		Expect(counts).To(Equal(map[string]int{"panicking": 2, "sibling": 1}))
	})
})
