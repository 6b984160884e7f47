// Package enginewire holds the JSON types of the protocol between an entry
// host and a model engine: OpenAI-compatible completions with token ids, load
// reports, cache events and orders.
package enginewire

import "encoding/json"

// Paths of the engine protocol.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathLoad            = "/v1/load"
	PathCacheEvents     = "/v1/cache/events"
	PathOrders          = "/v1/orders"
	PathStreams         = "/v1/streams/"
)

// HeaderStreamID is the response header with the id that the engine assigned to a
// stream. The stream can be resumed under this id.
const HeaderStreamID = "X-Stream-Id"

// HeaderLoad is the response header with the engine's load report as JSON. It
// reduces the number of polls of servers in use.
const HeaderLoad = "Endpoint-Load-Metrics"

// StreamEnd is the data field of the last event of a stream.
const StreamEnd = "[DONE]"

// TokenID is the number of a token in the vocabulary of the engine.
type TokenID = int32

// Generation is the body of a completion or chat completion sent to an engine.
// Exactly one of Prompt and Messages is set.
type Generation struct {
	// Model is the version that generates.
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt,omitempty"`
	Messages json.RawMessage `json:"messages,omitempty"`
	// MaxTokens bounds the tokens that this attempt generates.
	MaxTokens int   `json:"max_tokens"`
	Seed      int64 `json:"seed"`
	// Priority is the priority of the work inside the engine. Lower values run first.
	Priority       int  `json:"priority"`
	Stream         bool `json:"stream"`
	ReturnTokenIDs bool `json:"return_token_ids"`
	// Sampling holds further sampling settings of the caller. They are passed to the
	// engine without being interpreted.
	Sampling Fields `json:"-"`
}

// Fields holds members of a JSON object that are passed on without being
// interpreted.
type Fields map[string]json.RawMessage

// MarshalJSON merges the sampling settings into the body. Fields of Generation take
// precedence over settings of the same name.
func (g Generation) MarshalJSON() ([]byte, error) {
	type plain Generation
	named, err := json.Marshal(plain(g))
	if err != nil || len(g.Sampling) == 0 {
		return named, err
	}
	merged := make(Fields, len(g.Sampling)+8)
	for name, value := range g.Sampling {
		merged[name] = value
	}
	if err := json.Unmarshal(named, &merged); err != nil {
		return nil, err
	}
	return json.Marshal(merged)
}

// EncodePrompt encodes token ids as the JSON value of a prompt.
func EncodePrompt(ids []TokenID) (json.RawMessage, error) {
	return json.Marshal(ids)
}

// Chunk is one event of a streamed generation.
type Chunk struct {
	ID      string   `json:"id,omitempty"`
	Choices []Choice `json:"choices"`
	Error   *Failure `json:"error,omitempty"`
}

// Choice is the generated content of a chunk. Completions set Text, and chat
// completions set Delta.
type Choice struct {
	Index          int       `json:"index"`
	Text           string    `json:"text,omitempty"`
	Delta          *Delta    `json:"delta,omitempty"`
	TokenIDs       []TokenID `json:"token_ids,omitempty"`
	PromptTokenIDs []TokenID `json:"prompt_token_ids,omitempty"`
	FinishReason   string    `json:"finish_reason,omitempty"`
}

// Content returns the text of the choice, from Delta if it is set and from Text
// otherwise.
func (c Choice) Content() string {
	if c.Delta != nil {
		return c.Delta.Content
	}
	return c.Text
}

// Delta is the text that a chunk adds to a chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Failure is an error that an engine reports.
type Failure struct {
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
}

// LoadReport is the state that an engine reports. It lags behind the actual state.
type LoadReport struct {
	// Versions lists the loaded versions.
	Versions []string `json:"versions"`
	Role     string   `json:"role,omitempty"`
	// Running and Waiting count the requests that run and that are queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the share of the prefix cache in use.
	CacheUsed float64 `json:"cache_used"`
	// Capacity is the number of requests that can run at once.
	Capacity int `json:"capacity"`
	// Incarnation identifies one start of the engine.
	Incarnation uint64 `json:"incarnation"`
	// Fencing is the largest fencing number that the engine has accepted.
	Fencing uint64 `json:"fencing,omitempty"`
}

// CacheEvent reports prompt prefixes that an engine stored or evicted. Stored and
// Evicted hold values of PrefixHashes.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// CacheEvents is a page of cache events. A gap in the sequence numbers means that
// events are missing.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind is the action that an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells a backend server which state to reach. Orders are idempotent.
type Order struct {
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Version is set for OrderLoad and OrderUnload, and Role for OrderRole.
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fencing uint64 `json:"fencing"`
}

// OrderResult is the answer of a backend server to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Message  string `json:"message,omitempty"`
}
