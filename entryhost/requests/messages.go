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
	// Body is sent to the engine. The request task sets its model, stream and
	// return_token_ids fields and, in a continuation, its prompt and max_tokens.
	Body enginewire.Generation
	// Eager starts a second attempt at the first sign of silence.
	Eager bool
	// Resume continues an answer that the caller has received in part; nil starts
	// a new one.
	Resume *ResumePoint
}

// ResumePoint is the content of a cursor: how much of an answer the caller has
// received, and where it came from.
type ResumePoint struct {
	Version model.Version
	Mark    Mark
	// Source is the engine stream of the answer, or the zero value if it is not
	// known.
	Source StreamSource
}

// StreamSource identifies the engine stream that tokens came from, so that
// another entry host can resume it. It is immutable.
type StreamSource struct {
	Server model.ServerID
	Stream string
	// Base is the position in the answer at which the stream begins.
	Base int
}

// Update is a message to a caller task. Exactly one of Tokens, FinishReason and
// Fault is set; FinishReason or Fault marks the last update.
type Update struct {
	// Position is the number of tokens of the answer before Tokens.
	Position int
	Tokens   []backends.Token
	// Hash is the rolling hash of all token ids up to the end of Tokens.
	Hash    uint64
	Version model.Version
	// Source is nil while the engine stream is not known.
	Source *StreamSource
	// FinishReason is set at the regular end.
	FinishReason string
	Fault        *model.Fault
	// PromptTokens and Attempts are set with FinishReason.
	PromptTokens int
	Attempts     int
}

// StartGeneration asks the manager to start a generation task, which sends
// updates until one has FinishReason or Fault set.
type StartGeneration struct {
	// Context is cancelled when the caller disconnects.
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
	// Body is read by the exchange task. It is nil in a keyed call.
	Body          io.Reader
	ContentLength int64
	// Repeatable means that the method is idempotent for this service.
	Repeatable bool
	// Key is the caller's idempotency key or ticket, or "".
	Key string
	// BufferedBody is the complete body of a keyed call.
	BufferedBody []byte
}

// Keyed reports whether the key must be acquired before the call is dispatched.
// An idempotent call needs no key, as it may run more than once.
func (c Call) Keyed() bool { return c.Key != "" && !c.Repeatable }

// Answer is the result of a call: the response head, whose body the receiver
// closes, or a fault.
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

// Drain makes the manager refuse new requests. Idle is closed once no request
// is open.
type Drain struct {
	Idle chan<- struct{}
}

// Command is a message to the manager.
type Command interface{ managerCommand() }

func (StartGeneration) managerCommand() {}
func (StartCall) managerCommand()       {}
func (Drain) managerCommand()           {}
func (requestEnded) managerCommand()    {}
func (latencyObserved) managerCommand() {}

// requestEnded is sent to the manager when a request task ends.
type requestEnded struct{}

// latencyObserved sends the latencies that a generation measured to the
// manager. Each generation sends it once, early enough to help generations that
// start soon after it on a fresh entry host.
type latencyObserved struct {
	service model.ServiceName
	latency LatencyStats
}
