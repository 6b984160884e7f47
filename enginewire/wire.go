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

// HeaderStreamID is the response header with the engine's id of a stream, by
// which the stream can be resumed.
const HeaderStreamID = "X-Stream-Id"

// HeaderLoad is the response header with the engine's load report as JSON, so
// that servers in use need few polls.
const HeaderLoad = "Endpoint-Load-Metrics"

// StreamEnd is the data of the last event of a stream.
const StreamEnd = "[DONE]"

// TokenID is the engine's number of a token.
type TokenID = int32

// Generation is the body of a completion or chat completion sent to an engine.
// Exactly one of Prompt and Messages is set.
type Generation struct {
	// Model is the version that generates.
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt,omitempty"`
	Messages json.RawMessage `json:"messages,omitempty"`
	// MaxTokens bounds the tokens of this attempt.
	MaxTokens int   `json:"max_tokens"`
	Seed      int64 `json:"seed"`
	// Priority orders work inside the engine; lower runs first.
	Priority       int  `json:"priority"`
	Stream         bool `json:"stream"`
	ReturnTokenIDs bool `json:"return_token_ids"`
	// Sampling holds further sampling settings of the caller, passed on unread.
	Sampling Fields `json:"-"`
}

// Fields are JSON members that are passed on unread.
type Fields map[string]json.RawMessage

// MarshalJSON merges the sampling settings into the body. Named fields win.
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

// PromptTokens encodes token ids as a prompt.
func PromptTokens(ids []TokenID) (json.RawMessage, error) {
	return json.Marshal(ids)
}

// Chunk is one event of a streamed generation.
type Chunk struct {
	ID      string   `json:"id,omitempty"`
	Choices []Choice `json:"choices"`
	Error   *Failure `json:"error,omitempty"`
}

// Choice is the generated part of a chunk.
type Choice struct {
	Index          int       `json:"index"`
	Text           string    `json:"text,omitempty"`
	Delta          *Delta    `json:"delta,omitempty"`
	TokenIDs       []TokenID `json:"token_ids,omitempty"`
	PromptTokenIDs []TokenID `json:"prompt_token_ids,omitempty"`
	FinishReason   string    `json:"finish_reason,omitempty"`
}

// Content returns the text of a completion or chat choice.
func (c Choice) Content() string {
	if c.Delta != nil {
		return c.Delta.Content
	}
	return c.Text
}

// Delta is the text of a chat choice.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Failure is an error that an engine reports.
type Failure struct {
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
}

// LoadReport is an engine's statement of its state; it lags.
type LoadReport struct {
	Versions    []string `json:"versions"`
	Role        string   `json:"role,omitempty"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	CacheUsed   float64  `json:"cache_used"`
	Capacity    int      `json:"capacity"`
	Incarnation uint64   `json:"incarnation"`
	Fencing     uint64   `json:"fencing,omitempty"`
}

// CacheEvent tells that an engine has stored or evicted a prompt prefix.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// CacheEvents is a page of cache events. A gap shows in the sequence numbers.
type CacheEvents struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// OrderKind names what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order states the wanted state of a backend server; repeating it has no
// further effect.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"`
}

// OrderResult is a server's answer to an order.
type OrderResult struct {
	Accepted bool   `json:"accepted"`
	Message  string `json:"message,omitempty"`
}
