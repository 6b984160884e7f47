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

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	ID       string
	Versions []string
	// TokenInterval is the time of one step, in which each running generation
	// gets one token.
	TokenInterval time.Duration
	// PrefillRate is the number of prompt tokens handled in one step.
	PrefillRate int
	// Capacity is the number of generations that run at once.
	Capacity int
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// ResumeGrace is how long a generation outlives its connection.
	ResumeGrace time.Duration
	// RestartAfter starts the engine again this long after a request crashed it;
	// 0 leaves it dead.
	RestartAfter time.Duration
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadDelay is the time an order to load a version takes.
	LoadDelay time.Duration
	Seed      uint64
}

// Attempt is the engine's record of one generation that it ran.
type Attempt struct {
	Engine     string
	Stream     string
	Version    string
	Seed       int64
	PromptHash uint64
	// PromptTokens, Prefilled and Decoded count tokens; Prefilled leaves out
	// those found in the prefix cache.
	PromptTokens int
	Prefilled    int
	Decoded      int
	Started      time.Time
	FirstToken   time.Duration
	Finished     bool
	// Faulty tells that an injected fault of the version hit the generation.
	Faulty bool
}

// Effect is a change of an engine's versions by an order.
type Effect struct {
	Engine string
	Order  enginewire.Order
	// Started and Finished bound the time in which a version was loaded.
	Started  time.Time
	Finished time.Time
}

// VersionFault makes one version of an engine bad.
type VersionFault struct {
	// FailShare is the share of generations that end in an error.
	FailShare float64
	// SlowFactor multiplies the time of each token; 0 means 1.
	SlowFactor float64
	// AfterRequests delays the fault until the version ran this many generations.
	AfterRequests int
	// AboveRunning limits the fault to times with more running generations.
	AboveRunning int
	// Chat limits the fault to the chat route.
	Chat bool
}

// CrashWord in a prompt crashes each engine that runs it.
const CrashWord = "crash-engine"

// crashAfterSteps is how many tokens a crashing request gets first.
const crashAfterSteps = 3

// Engine is the task of a stand-in engine.
type Engine struct {
	options  EngineOptions
	messages task.Mailbox[engineMessage]
	endpoint *endpoint
	random   *rand.Rand

	versions    []string
	role        string
	fencing     uint64
	orders      []enginewire.Order
	effects     []Effect
	running     map[string]*generation
	waiting     []*generation
	attempts    []*Attempt
	cache       prefixCache
	faults      map[string]VersionFault
	served      map[string]int
	incarnation uint64
	nextStream  int
	paused      bool
	pending     []engineMessage
	slow        float64
	steps       int
	draining    bool
	refused     []time.Time
	crashes     int
}

// generation is a stream inside the engine.
type generation struct {
	attempt *Attempt
	prompt  []enginewire.TokenID
	chat    bool
	context uint64
	tokens  []enginewire.TokenID
	limit   int
	prefill int
	crash   bool
	fail    bool
	skipped float64
	output  chan<- step
	// sent is the number of tokens passed to the output.
	sent     int
	detached time.Time
}

// step is one token for the handler that writes a stream.
type step struct {
	id     enginewire.TokenID
	finish string
	err    string
	// end closes the stream cleanly without an end mark.
	end bool
}

// outputSize holds the steps a slow reader may lag behind; the engine keeps
// the rest in the generation.
const outputSize = 256

// StartEngine starts a stand-in engine on a loopback address.
func StartEngine(ctx context.Context, options EngineOptions) (*Engine, error) {
	engine := &Engine{
		options:     options,
		messages:    task.NewMailbox[engineMessage](1024),
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		versions:    slices.Clone(options.Versions),
		running:     make(map[string]*generation),
		cache:       newPrefixCache(options.CacheBlocks),
		faults:      make(map[string]VersionFault),
		served:      make(map[string]int),
		incarnation: 1,
		slow:        1,
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
			e.endpoint.cut()
			return
		case message := <-e.messages.C():
			e.handle(message)
		case <-ticker.C:
			e.step()
		}
	}
}

// handle applies a message. A paused engine answers nothing; what arrives is
// handled after the pause.
func (e *Engine) handle(message engineMessage) {
	_, control := message.(change)
	if e.paused && !control {
		e.pending = append(e.pending, message)
		return
	}
	message.apply(e)
}

func (e *Engine) unpause() {
	e.paused = false
	pending := e.pending
	e.pending = nil
	for _, message := range pending {
		message.apply(e)
	}
}

// step gives one token to each running generation.
func (e *Engine) step() {
	e.steps++
	if e.paused || e.endpoint.server == nil {
		return
	}
	e.dropDetached()
	e.admit()
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

// streamIDs returns the running streams in a fixed order.
func (e *Engine) streamIDs() []string {
	ids := make([]string, 0, len(e.running))
	for id := range e.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.options.Capacity {
		generation := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running[generation.attempt.Stream] = generation
	}
}

func (e *Engine) dropDetached() {
	now := time.Now()
	for id, generation := range e.running {
		if !generation.detached.IsZero() && now.Sub(generation.detached) > e.options.ResumeGrace {
			delete(e.running, id)
		}
	}
}

// advance handles one step of one generation.
func (e *Engine) advance(id string, g *generation) {
	if g.prefill > 0 {
		g.prefill -= e.options.PrefillRate
		return
	}
	g.skipped += 1 / (e.slow * e.slowFactor(g))
	if g.skipped < 1 {
		return
	}
	g.skipped--
	if g.crash && len(g.tokens) >= crashAfterSteps {
		e.crash()
		return
	}
	if g.fail && len(g.tokens) >= 1 {
		delete(e.running, id)
		g.send(step{err: "injected fault"})
		return
	}
	e.decode(id, g)
}

func (e *Engine) decode(id string, g *generation) {
	if len(g.tokens) >= g.limit {
		e.flush(id, g)
		return
	}
	token := NextToken(g.context, g.attempt.Seed, g.attempt.Version)
	g.context = enginewire.ExtendHash(g.context, token)
	g.tokens = append(g.tokens, token)
	if len(g.tokens) == 1 {
		g.attempt.FirstToken = time.Since(g.attempt.Started)
	}
	g.attempt.Decoded++
	g.attempt.Finished = len(g.tokens) == g.limit
	e.flush(id, g)
}

// flush passes tokens on and ends the generation once all were passed on.
func (e *Engine) flush(id string, g *generation) {
	g.flush()
	if g.attempt.Finished && g.sent == len(g.tokens) {
		delete(e.running, id)
	}
}

// flush passes tokens on while the output has room.
func (g *generation) flush() {
	for g.output != nil && g.sent < len(g.tokens) {
		next := step{id: g.tokens[g.sent]}
		if g.sent+1 == g.limit {
			next.finish = "length"
		}
		if !g.send(next) {
			return
		}
		g.sent++
	}
}

func (g *generation) send(next step) bool {
	if g.output == nil {
		return false
	}
	select {
	case g.output <- next:
		return true
	default:
		return false
	}
}

func (e *Engine) slowFactor(g *generation) float64 {
	fault, found := e.faults[g.attempt.Version]
	if !found || fault.SlowFactor == 0 || !e.faultActive(fault, g) {
		return 1
	}
	return fault.SlowFactor
}

func (e *Engine) faultActive(fault VersionFault, g *generation) bool {
	if fault.Chat && !g.chat {
		return false
	}
	return e.served[g.attempt.Version] > fault.AfterRequests && len(e.running) >= fault.AboveRunning
}

// die cuts all connections and forgets all streams, as a killed process does.
func (e *Engine) die() {
	e.endpoint.cut()
	e.running = make(map[string]*generation)
	e.waiting = nil
	e.cache = newPrefixCache(e.options.CacheBlocks)
}

// endStreams ends all open streams cleanly but early. The engine forgets them,
// or keeps decoding for a caller who resumes.
func (e *Engine) endStreams(forget bool) {
	for id, generation := range e.running {
		generation.send(step{end: true})
		if forget {
			delete(e.running, id)
		}
	}
}

// crash is a death caused by a request.
func (e *Engine) crash() {
	e.crashes++
	e.die()
	if e.options.RestartAfter > 0 {
		time.AfterFunc(e.options.RestartAfter, e.Revive)
	}
}

func (e *Engine) revive() error {
	if e.endpoint.server != nil {
		return nil
	}
	e.incarnation++
	e.versions = slices.Clone(e.options.Versions)
	e.pending = nil
	e.paused = false
	return e.endpoint.open()
}

func (e *Engine) begin(start startStream) startResult {
	if e.draining {
		e.refused = append(e.refused, time.Now())
		return startResult{err: "the engine is leaving", status: http.StatusServiceUnavailable}
	}
	if !slices.Contains(e.versions, start.body.Model) {
		return startResult{err: "version " + start.body.Model + " is not loaded"}
	}
	prompt, err := promptIDs(start.body)
	if err != nil {
		return startResult{err: err.Error()}
	}
	e.nextStream++
	e.served[start.body.Model]++
	stream := e.options.ID + "-" + strconv.FormatUint(e.incarnation, 10) + "-" + strconv.Itoa(e.nextStream)
	cached := e.cache.touch(enginewire.PrefixHashes(prompt)) * enginewire.PrefixBlockTokens
	attempt := &Attempt{
		Engine: e.options.ID, Stream: stream, Version: start.body.Model, Seed: start.body.Seed,
		PromptHash: rollAll(prompt), PromptTokens: len(prompt), Prefilled: len(prompt) - cached, Started: time.Now(),
	}
	e.attempts = append(e.attempts, attempt)
	g := &generation{
		attempt: attempt, prompt: prompt, chat: start.chat, context: attempt.PromptHash,
		limit: start.body.MaxTokens, prefill: attempt.Prefilled, output: start.output,
		crash: slices.Contains(prompt, crashToken),
	}
	fault, found := e.faults[attempt.Version]
	active := found && e.faultActive(fault, g)
	g.fail = active && e.random.Float64() < fault.FailShare
	attempt.Faulty = g.fail || (active && fault.SlowFactor > 1)
	e.waiting = append(e.waiting, g)
	return startResult{stream: stream, prompt: prompt, load: e.load()}
}

func (e *Engine) resume(resume resumeStream) startResult {
	g := e.running[resume.stream]
	if g == nil || resume.from > len(g.tokens) {
		return startResult{err: "stream " + resume.stream + " is gone"}
	}
	g.detached = time.Time{}
	g.output = resume.output
	g.sent = resume.from
	g.flush()
	return startResult{stream: resume.stream, prompt: g.prompt, load: e.load()}
}

// detach handles the end of a connection: the generation is cancelled, or kept
// for the grace period.
func (e *Engine) detach(stream string, output chan<- step) {
	g := e.running[stream]
	if g == nil {
		e.waiting = slices.DeleteFunc(e.waiting, func(w *generation) bool { return w.attempt.Stream == stream })
		return
	}
	if g.output != output {
		return
	}
	g.output = nil
	g.detached = time.Now()
	if e.options.ResumeGrace == 0 {
		delete(e.running, stream)
	}
}

func (e *Engine) load() enginewire.LoadReport {
	return enginewire.LoadReport{
		Versions: slices.Clone(e.versions), Role: e.role, Running: len(e.running), Waiting: len(e.waiting),
		CacheUsed: e.cache.used(), Capacity: e.options.Capacity, Incarnation: e.incarnation, Fencing: e.fencing,
	}
}

// isChat reports whether a path is the chat endpoint.
func isChat(path string) bool { return strings.HasSuffix(path, enginewire.PathChatCompletions) }
