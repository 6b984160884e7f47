package requests

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("requests")

// Generation describes a caller's request for a generation.
type Generation struct {
	ID           model.RequestID
	Service      model.ServiceName
	Organisation model.Organisation
	Deadline     time.Time
	Fingerprint  model.Fingerprint
	Route        string
	// Path is the engine path of the first attempt.
	Path string
	// Body is sent to the engine; its model, seed and stream fields are set by
	// the request task.
	Body enginewire.Generation
	// Eager starts the next attempt at the first sign of silence.
	Eager bool
	// Resume continues the answer that a caller received in part; nil starts one.
	Resume *ResumePoint
}

// ResumePoint is what a cursor says of an answer that was received in part.
type ResumePoint struct {
	Version model.Version
	Mark    Mark
	// Source is the engine's stream, or the zero value if it is not known.
	Source Source
}

// Source names the engine's stream that tokens came from, by which another
// entry host can resume it. It is immutable.
type Source struct {
	Server model.ServerID
	Stream string
	// Base is the position in the answer at which the stream begins.
	Base int
}

// Update is what a caller task receives. Exactly one of Tokens, Finish and
// Fault is set.
type Update struct {
	// Position is the number of tokens before Tokens.
	Position int
	Tokens   []backends.Token
	// Hash covers all token ids up to the end of Tokens.
	Hash    uint64
	Version model.Version
	// Source is nil while the engine's stream is not known.
	Source *Source
	Finish string
	Fault  *model.Fault
	// Prompt and Attempts are set with Finish.
	PromptTokens int
	Attempts     int
}

// StartGeneration asks the manager to start a generation task. The caller task
// receives Updates until one has Finish or Fault set.
type StartGeneration struct {
	// Context ends when the caller is gone.
	Context    context.Context
	Generation Generation
	Updates    chan<- Update
}

// Call describes a call to a plain service.
type Call struct {
	ID           model.RequestID
	Service      model.ServiceName
	Organisation model.Organisation
	Deadline     time.Time
	Fingerprint  model.Fingerprint
	Method       string
	Path         string
	Header       http.Header
	// Body passes to the call task, which passes it on to the exchange task.
	Body          io.Reader
	ContentLength int64
	Repeatable    bool
	// Key is the caller's idempotency key, or "".
	Key string
	// Content is the whole body of a keyed call; Body is nil then.
	Content []byte
}

// Keyed reports whether the call is claimed before its dispatch. An idempotent
// call needs no claim, as it may run more than once.
func (c Call) Keyed() bool { return c.Key != "" && !c.Repeatable }

// Answer is the result of a call: a head whose body the receiver closes, or a fault.
type Answer struct {
	Head  backends.ExchangeHead
	Fault *model.Fault
}

// StartCall asks the manager to start a call task.
type StartCall struct {
	Context context.Context
	Call    Call
	Reply   task.Reply[Answer]
}

// Drain makes the manager refuse new requests. Idle is closed once no request is open.
type Drain struct {
	Idle chan<- struct{}
}

// Command is a message to the manager.
type Command interface{ managerCommand() }

func (StartGeneration) managerCommand() {}
func (StartCall) managerCommand()       {}
func (Drain) managerCommand()           {}
func (requestEnded) managerCommand()    {}
func (speedObserved) managerCommand()   {}

// requestEnded tells the manager that a request task has ended.
type requestEnded struct{}

// speedObserved tells the manager what a generation observed of its service.
// Each generation reports once, early enough to help those that start soon
// after it on a fresh entry host.
type speedObserved struct {
	service  model.ServiceName
	observed Observed
}
