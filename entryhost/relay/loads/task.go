package loads

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/task"
)

// Task collects the loads of the data centres for which hosts report to this one.
type Task struct {
	clock   clockwork.Clock
	mailbox task.Mailbox[Exchange]

	// boards is accessed only by the task's goroutine. Usually it holds the board of
	// this host's data centre, if this host is the collector.
	boards map[string]*board
	// calls are the recent calls of plain services by data centre.
	calls map[string]*CallWindow
}

// NewTask returns a collector without reports.
func NewTask(clock clockwork.Clock) *Task {
	return &Task{clock: clock, mailbox: task.NewMailbox[Exchange](mailboxSize), boards: map[string]*board{}, calls: map[string]*CallWindow{}}
}

// Mailbox receives reports.
func (t *Task) Mailbox() task.Mailbox[Exchange] { return t.mailbox }

// String names the task in the logs.
func (t *Task) String() string { return "loads" }

// Serve handles reports until the context ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := t.clock.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case exchange := <-t.mailbox.C():
			exchange.Reply.Send(t.exchange(exchange.Report))
		case <-ticker.Chan():
			t.expire()
		}
	}
}

func (t *Task) exchange(report HostLoads) Others {
	reports, found := t.boards[report.DataCentre]
	if !found {
		reports = newBoard()
		t.boards[report.DataCentre] = reports
	}
	now := t.clock.Now()
	others := reports.exchange(report, now)
	others.Calls = t.exchangeCalls(report, now)
	return others
}

// exchangeCalls adds the calls of a report, which count also if a later report overtook it,
// and returns those of the data centre.
func (t *Task) exchangeCalls(report HostLoads, now time.Time) map[string]ServiceCalls {
	window, found := t.calls[report.DataCentre]
	if !found {
		window = &CallWindow{}
		t.calls[report.DataCentre] = window
	}
	window.Add(report.Calls, now)
	return window.Sums(now)
}

func (t *Task) expire() {
	now := t.clock.Now()
	for dataCentre, reports := range t.boards {
		reports.expire(now)
		if len(reports.hosts) == 0 {
			delete(t.boards, dataCentre)
			delete(t.calls, dataCentre)
		}
	}
}
