package requests

import (
	"context"
	"io"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/entryhost/admission"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/eventcode"
	"github.com/lentilpoint/lentilpoint/model"
)

// errBodyTimeout ends the read of a response body that makes no progress.
var errBodyTimeout = Error.New("the answer made no progress")

// watchedBody is a response body with a timeout on each read. Closing it or a
// timeout ends its exchange. Only one goroutine may read it at a time.
type watchedBody struct {
	io.ReadCloser
	clock    clockwork.Clock
	deadline time.Time
	cancel   context.CancelCauseFunc
	// onSilence is called when a read has timed out.
	onSilence func()
}

// watchBody returns the body with a timeout on each read.
func (c *callTask) watchBody(body io.ReadCloser, cancel context.CancelCauseFunc, assignment admission.Assignment) *watchedBody {
	return &watchedBody{
		ReadCloser: body, clock: c.clock, deadline: c.start.Call.Deadline, cancel: cancel,
		onSilence: func() {
			_ = assignment.Commands.TrySend(backends.ReportSilence{Generation: assignment.Generation})
			c.incrementCounter("lentilpoint_answers_cut_total", string(backends.FailureSilent))
			c.recordEvent(eventcode.CallOutcomeUnknown, assignment, model.ReasonBackendFailed, errBodyTimeout.Error())
		},
	}
}

// Read implements io.Reader. The timeout covers the read only, so that a slow
// caller does not count as a silent server.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	timer := b.clock.AfterFunc(bodyReadTimeout(b.deadline.Sub(b.clock.Now())), func() { b.cancel(errBodyTimeout) })
	n, err := b.ReadCloser.Read(buffer)
	if !timer.Stop() && err != nil && err != io.EOF {
		b.onSilence()
		return n, errBodyTimeout
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
