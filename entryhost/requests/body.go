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

// errBodySilent ends the read of an answer that makes no progress.
var errBodySilent = Error.New("the answer made no progress")

// watchedBody is the body of an answer. It ends its exchange when it is closed
// or silent. One task at a time reads it.
type watchedBody struct {
	io.ReadCloser
	clock    clockwork.Clock
	deadline time.Time
	cancel   context.CancelCauseFunc
	// silent runs once when a read ended for lack of progress.
	silent func()
}

// watch returns the body with a limit on each wait for bytes.
func (c *callTask) watch(body io.ReadCloser, cancel context.CancelCauseFunc, assignment admission.Assignment) *watchedBody {
	return &watchedBody{
		ReadCloser: body, clock: c.clock, deadline: c.start.Call.Deadline, cancel: cancel,
		silent: func() {
			_ = assignment.Commands.TrySend(backends.ReportSilence{Generation: assignment.Generation})
			c.count("lentilpoint_answers_cut_total", string(backends.FailureSilent))
			c.note(eventcode.CallOutcomeUnknown, assignment, model.ReasonBackendFailed, errBodySilent.Error())
		},
	}
}

// Read implements io.Reader. The limit applies to reads only, so that a slow
// caller does not count as a silent server.
func (b *watchedBody) Read(buffer []byte) (int, error) {
	timer := b.clock.AfterFunc(bodySilence(b.deadline.Sub(b.clock.Now())), func() { b.cancel(errBodySilent) })
	n, err := b.ReadCloser.Read(buffer)
	if !timer.Stop() && err != nil && err != io.EOF {
		b.silent()
		return n, errBodySilent
	}
	return n, err
}

// Close implements io.Closer.
func (b *watchedBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
