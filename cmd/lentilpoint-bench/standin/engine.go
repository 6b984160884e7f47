package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/task"
)

// EngineOptions are the properties of a stand-in engine.
type EngineOptions struct {
	ID       string
	Versions []string
	// TokenInterval is the duration of one step, in which each running generation
	// gets one token. It must be positive.
	TokenInterval time.Duration
	// PrefillRate is the number of prompt tokens processed in one step.
	PrefillRate int
	// Capacity is the maximum number of generations that run at once. Others wait.
	Capacity int
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// ResumeGrace is how long a generation continues without a connection, so that
	// it can be resumed; 0 cancels it at once.
	ResumeGrace time.Duration
	// RestartAfter is the time from a crash caused by a request to the restart; 0
	// means no restart.
	RestartAfter time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadDelay is how long loading a version takes.
	LoadDelay time.Duration
	// Seed seeds the choice of generations that VersionFault.FailShare ends.
	Seed uint64
}

// Attempt is the engine's record of one generation that it accepted.
type Attempt struct {
	Engine     string
	Stream     string
	Version    string
	Seed       int64
	PromptHash uint64
	// PromptTokens, Prefilled and Decoded are numbers of tokens. Prefilled excludes
	// prompt tokens found in the prefix cache.
	PromptTokens int
	Prefilled    int
	Decoded      int
	Started      time.Time
	// FirstToken is the time from Started to the first token; 0 means that there is
	// none yet.
	FirstToken time.Duration
	// Finished reports whether all tokens have been decoded.
	Finished bool
	// Faulty reports whether a VersionFault applied to the generation.
	Faulty bool
}

// Effect is a change of the loaded versions of an engine by an order.
type Effect struct {
	Engine string
	Order  enginewire.Order
	// Started and Finished are the start and the end of loading. For unloading, both
	// are the time of the order.
	Started  time.Time
	Finished time.Time
}

// VersionFault is a fault of one version on an engine. It applies to a generation if
// all conditions hold.
type VersionFault struct {
	// FailShare is the share of generations, from 0 to 1, that end in an error.
	FailShare float64
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// AfterRequests is the number of generations of the version on this engine after
	// which the fault starts.
	AfterRequests int
	// MinRunning limits the fault to times when at least this many generations run
	// on the engine.
	MinRunning int
	// ChatOnly limits the fault to chat completions.
	ChatOnly bool
}

// CrashWord is a word that, in a prompt, crashes each engine that runs it.
const CrashWord = "crash-engine"

// crashAfterTokens is the number of tokens generated before a prompt with CrashWord
// crashes the engine.
const crashAfterTokens = 3

// Engine is the task of a stand-in engine.
type Engine struct {
	options  EngineOptions
	messages task.Mailbox[engineMessage]
	endpoint *endpoint
	random   *rand.Rand

	versions []string
	role     string
	// fencing is the highest fencing number of an order that was carried out.
	fencing uint64
	orders  []enginewire.Order
	effects []Effect
	// running holds the generations by stream.
	running  map[string]*generation
	waiting  []*generation
	attempts []*Attempt
	cache    prefixCache
	// faults and startedByVersion have versions as keys.
	faults           map[string]VersionFault
	startedByVersion map[string]int
	incarnation      uint64
	lastStreamNumber int
	paused           bool
	// deferredMessages are the messages that arrived during a pause.
	deferredMessages []engineMessage
	// slowdown multiplies the time of each token.
	slowdown   float64
	stepCount  int
	draining   bool
	refusedAt  []time.Time
	crashCount int
}

// generation is the state of one stream.
type generation struct {
	attempt *Attempt
	prompt  []enginewire.TokenID
	chat    bool
	// contextHash is the rolling hash of the prompt and the tokens so far.
	contextHash uint64
	tokens      []enginewire.TokenID
	// limit is the number of tokens to generate.
	limit int
	// prefillLeft is the number of prompt tokens still to process.
	prefillLeft int
	willCrash   bool
	willFail    bool
	// progress is the fraction of the next token that is done.
	progress float64
	// output is nil while no handler is attached.
	output chan<- streamItem
	// sentTokens is the number of tokens sent to the output.
	sentTokens int
	// detachedAt is zero while a handler is attached.
	detachedAt time.Time
}

// streamItem is one token, or the end of a stream, for the handler that writes the
// stream.
type streamItem struct {
	token        enginewire.TokenID
	finishReason string
	err          string
	// closeEarly ends the response normally, but without a finish reason and
	// enginewire.StreamEnd.
	closeEarly bool
}

// outputCapacity is the number of items buffered for a slow reader. Further tokens
// stay in the generation.
const outputCapacity = 256

// StartEngine starts a stand-in engine on a loopback address.
func StartEngine(ctx context.Context, options EngineOptions) (*Engine, error) {
	engine := &Engine{
		options:          options,
		messages:         task.NewMailbox[engineMessage](1024),
		random:           rand.New(rand.NewPCG(options.Seed, 1)),
		versions:         slices.Clone(options.Versions),
		running:          make(map[string]*generation),
		cache:            newPrefixCache(options.CacheBlocks),
		faults:           make(map[string]VersionFault),
		startedByVersion: make(map[string]int),
		incarnation:      1,
		slowdown:         1,
	}
	endpoint, err := newEndpoint(engine.handler())
	if err != nil {
		return nil, err
	}
	engine.endpoint = endpoint
	go engine.serve(ctx)
	return engine, nil
}

// ID returns the engine's id in the host list.
func (e *Engine) ID() string { return e.options.ID }

// Address returns the engine's address; it stays the same after a restart.
func (e *Engine) Address() string { return e.endpoint.address }

func (e *Engine) serve(ctx context.Context) {
	ticker := time.NewTicker(e.options.TokenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.endpoint.close()
			return
		case message := <-e.messages.C():
			e.handle(message)
		case <-ticker.C:
			e.step()
		}
	}
}

// handle applies a message. During a pause it defers all messages except functions of
// the experiment and of timers.
func (e *Engine) handle(message engineMessage) {
	_, isTaskFunction := message.(taskFunction)
	if e.paused && !isTaskFunction {
		e.deferredMessages = append(e.deferredMessages, message)
		return
	}
	message.apply(e)
}

func (e *Engine) unpause() {
	e.paused = false
	deferred := e.deferredMessages
	e.deferredMessages = nil
	for _, message := range deferred {
		message.apply(e)
	}
}

// step admits waiting generations and advances each running one.
func (e *Engine) step() {
	e.stepCount++
	if e.paused || e.endpoint.server == nil {
		return
	}
	e.dropExpired()
	e.admitWaiting()
	for _, id := range e.streamIDs() {
		generation := e.running[id]
		if generation == nil {
			continue
		}
		e.advance(id, generation)
		if e.endpoint.server == nil {
			return
		}
	}
}

// streamIDs returns the running streams in sorted order.
func (e *Engine) streamIDs() []string {
	ids := make([]string, 0, len(e.running))
	for id := range e.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Capacity {
		generation := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[generation.attempt.Stream] = generation
	}
}

// dropExpired drops generations that had no connection for longer than ResumeGrace.
func (e *Engine) dropExpired() {
	now := time.Now()
	for id, generation := range e.running {
		if !generation.detachedAt.IsZero() && now.Sub(generation.detachedAt) > e.options.ResumeGrace {
			delete(e.running, id)
		}
	}
}

// advance runs one step of one generation: prefill, the next token or an injected
// fault.
func (e *Engine) advance(id string, g *generation) {
	if g.prefillLeft > 0 {
		g.prefillLeft -= e.options.PrefillRate
		return
	}
	g.progress += 1 / (e.slowdown * e.faultSlowFactor(g))
	if g.progress < 1 {
		return
	}
	g.progress--
	if g.willCrash && len(g.tokens) >= crashAfterTokens {
		e.crash()
		return
	}
	if g.willFail && len(g.tokens) >= 1 {
		delete(e.running, id)
		g.send(streamItem{err: "injected fault"})
		return
	}
	e.decodeToken(id, g)
}

func (e *Engine) decodeToken(id string, g *generation) {
	if len(g.tokens) >= g.limit {
		e.flush(id, g)
		return
	}
	token := NextToken(g.contextHash, g.attempt.Seed, g.attempt.Version)
	g.contextHash = enginewire.ExtendHash(g.contextHash, token)
	g.tokens = append(g.tokens, token)
	if len(g.tokens) == 1 {
		g.attempt.FirstToken = time.Since(g.attempt.Started)
	}
	g.attempt.Decoded++
	g.attempt.Finished = len(g.tokens) == g.limit
	e.flush(id, g)
}

// flush sends tokens to the output and ends the generation once all are sent.
func (e *Engine) flush(id string, g *generation) {
	g.flush()
	if g.attempt.Finished && g.sentTokens == len(g.tokens) {
		delete(e.running, id)
	}
}

// flush sends tokens until the output is full.
func (g *generation) flush() {
	for g.output != nil && g.sentTokens < len(g.tokens) {
		item := streamItem{token: g.tokens[g.sentTokens]}
		if g.sentTokens+1 == g.limit {
			item.finishReason = "length"
		}
		if !g.send(item) {
			return
		}
		g.sentTokens++
	}
}

// send reports whether the output had room for the item.
func (g *generation) send(item streamItem) bool {
	if g.output == nil {
		return false
	}
	select {
	case g.output <- item:
		return true
	default:
		return false
	}
}

func (e *Engine) faultSlowFactor(g *generation) float64 {
	fault, found := e.faults[g.attempt.Version]
	if !found || fault.SlowFactor == 0 || !e.faultActive(fault, g) {
		return 1
	}
	return fault.SlowFactor
}

func (e *Engine) faultActive(fault VersionFault, g *generation) bool {
	if fault.ChatOnly && !g.chat {
		return false
	}
	return e.startedByVersion[g.attempt.Version] > fault.AfterRequests && len(e.running) >= fault.MinRunning
}

// die closes all connections and drops all generations and the cache, as if the
// process were killed.
func (e *Engine) die() {
	e.endpoint.close()
	e.running = make(map[string]*generation)
	e.waiting = nil
	e.cache = newPrefixCache(e.options.CacheBlocks)
}

// endStreams ends all open streams normally but early. With discard, it drops their
// generations; otherwise they continue and can be resumed.
func (e *Engine) endStreams(discard bool) {
	for id, generation := range e.running {
		generation.send(streamItem{closeEarly: true})
		if discard {
			delete(e.running, id)
		}
	}
}

// crash is called when a request crashes the engine.
func (e *Engine) crash() {
	e.crashCount++
	e.die()
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, e.Revive)
	}
}

// revive starts the engine with a new incarnation if it does not run.
func (e *Engine) revive() error {
	if e.endpoint.server != nil {
		return nil
	}
	e.incarnation++
	e.versions = slices.Clone(e.options.Versions)
	e.deferredMessages = nil
	e.paused = false
	return e.endpoint.open()
}

func (e *Engine) startGeneration(message startStream) startResult {
	if e.draining {
		e.refusedAt = append(e.refusedAt, time.Now())
		return startResult{err: "the engine is leaving", status: http.StatusServiceUnavailable}
	}
	if !slices.Contains(e.versions, message.body.Model) {
		return startResult{err: "version " + message.body.Model + " is not loaded"}
	}
	prompt, err := promptTokens(message.body)
	if err != nil {
		return startResult{err: err.Error()}
	}
	e.lastStreamNumber++
	e.startedByVersion[message.body.Model]++
	stream := e.options.ID + "-" + strconv.FormatUint(e.incarnation, 10) + "-" + strconv.Itoa(e.lastStreamNumber)
	cached := e.cache.lookupAndStore(enginewire.PrefixHashes(prompt)) * enginewire.PrefixBlockTokens
	attempt := &Attempt{
		Engine: e.options.ID, Stream: stream, Version: message.body.Model, Seed: message.body.Seed,
		PromptHash: hashTokens(prompt), PromptTokens: len(prompt), Prefilled: len(prompt) - cached, Started: time.Now(),
	}
	e.attempts = append(e.attempts, attempt)
	generation := &generation{
		attempt: attempt, prompt: prompt, chat: message.chat, contextHash: attempt.PromptHash,
		limit: message.body.MaxTokens, prefillLeft: attempt.Prefilled, output: message.output,
		willCrash: slices.Contains(prompt, crashToken),
	}
	fault, found := e.faults[attempt.Version]
	faultActive := found && e.faultActive(fault, generation)
	generation.willFail = faultActive && e.random.Float64() < fault.FailShare
	attempt.Faulty = generation.willFail || (faultActive && fault.SlowFactor > 1)
	e.waiting = append(e.waiting, generation)
	return startResult{stream: stream, prompt: prompt, load: e.loadReport()}
}

func (e *Engine) resume(message resumeStream) startResult {
	g := e.running[message.stream]
	if g == nil || message.from > len(g.tokens) {
		return startResult{err: "stream " + message.stream + " is gone"}
	}
	g.detachedAt = time.Time{}
	g.output = message.output
	g.sentTokens = message.from
	g.flush()
	return startResult{stream: message.stream, prompt: g.prompt, load: e.loadReport()}
}

// detach handles the end of a connection. A waiting generation is cancelled. A running
// one is kept for ResumeGrace, unless another handler has resumed it since.
func (e *Engine) detach(stream string, output chan<- streamItem) {
	g := e.running[stream]
	if g == nil {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *generation) bool { return w.attempt.Stream == stream })
		return
	}
	if g.output != output {
		return
	}
	g.output = nil
	g.detachedAt = time.Now()
	if e.options.ResumeGrace == 0 {
		delete(e.running, stream)
	}
}

func (e *Engine) loadReport() enginewire.LoadReport {
	return enginewire.LoadReport{
		Versions: slices.Clone(e.versions), Role: e.role, Running: len(e.running), Waiting: len(e.waiting),
		CacheUsed: e.cache.usedShare(), Capacity: e.options.Capacity, Incarnation: e.incarnation, Fencing: e.fencing,
	}
}

// isChatPath reports whether a path is that of chat completions.
func isChatPath(path string) bool { return strings.HasSuffix(path, enginewire.PathChatCompletions) }
