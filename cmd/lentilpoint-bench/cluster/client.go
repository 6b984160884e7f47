package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/callers"
	"github.com/lentilpoint/lentilpoint/model"
)

// Client is a caller of one organisation. It may be used concurrently.
type Client struct {
	HTTP         *http.Client
	Organisation model.OrganisationID
}

// NewClient returns a caller with its own connection pool.
func NewClient(organisation model.OrganisationID) *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, Organisation: organisation}
}

// Close closes the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// GenerationRequest is the body of a generation. With Messages it uses the chat
// route, otherwise the completions route.
type GenerationRequest struct {
	Model    string        `json:"model"`
	Prompt   string        `json:"prompt,omitempty"`
	Messages []ChatMessage `json:"messages,omitempty"`
	// PromptTokens, if not empty, are sent as the prompt in place of Prompt.
	PromptTokens   []enginewire.TokenID `json:"-"`
	MaxTokens      int                  `json:"max_tokens"`
	Seed           int64                `json:"seed"`
	Stream         bool                 `json:"stream"`
	ReturnTokenIDs bool                 `json:"return_token_ids"`
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r GenerationRequest) path() string {
	if len(r.Messages) > 0 {
		return enginewire.PathChatCompletions
	}
	return enginewire.PathCompletions
}

// MarshalJSON implements json.Marshaler. PromptTokens, if not empty, replace
// Prompt.
func (r GenerationRequest) MarshalJSON() ([]byte, error) {
	type plain GenerationRequest
	if len(r.PromptTokens) == 0 {
		return json.Marshal(plain(r))
	}
	return json.Marshal(struct {
		plain
		Prompt []enginewire.TokenID `json:"prompt"`
	}{plain: plain(r), Prompt: r.PromptTokens})
}

// Stream is what a caller received of one streamed generation.
type Stream struct {
	Tokens []enginewire.TokenID
	// Arrivals holds the time of arrival of each token.
	Arrivals []time.Time
	Sent     time.Time
	// Ended is when the answer ended or its refusal was read.
	Ended time.Time
	// Finished is true if the stream reached its regular end.
	Finished bool
	// LastEventID is the id of the last event received.
	LastEventID string
	// Status is the HTTP status; 0 without a response.
	Status int
	// Fault is the error that the entry host answered or sent in the stream.
	Fault *callers.ErrorDetail
	// Err is a transport error, for example because the entry host died.
	Err error
}

// LongestGap returns the longest time between two arrivals.
func (s Stream) LongestGap() time.Duration {
	var longest time.Duration
	for i := 1; i < len(s.Arrivals); i++ {
		longest = max(longest, s.Arrivals[i].Sub(s.Arrivals[i-1]))
	}
	return longest
}

// Generate sends a streamed generation and reads the stream to its end. A
// non-empty lastEventID continues an earlier stream.
func (c *Client) Generate(ctx context.Context, base string, body GenerationRequest, lastEventID string) Stream {
	stream := c.generate(ctx, base, body, lastEventID)
	stream.Ended = time.Now()
	return stream
}

func (c *Client) generate(ctx context.Context, base string, body GenerationRequest, lastEventID string) Stream {
	body.Stream = true
	body.ReturnTokenIDs = true
	stream := Stream{Sent: time.Now()}
	content, err := json.Marshal(body)
	if err != nil {
		stream.Err = Error.Wrap(err)
		return stream
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+body.path(), bytes.NewReader(content))
	if err != nil {
		stream.Err = Error.Wrap(err)
		return stream
	}
	c.authorise(request)
	request.Header.Set("Content-Type", "application/json")
	if lastEventID != "" {
		request.Header.Set("Last-Event-ID", lastEventID)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		stream.Err = Error.Wrap(err)
		return stream
	}
	defer func() { _ = response.Body.Close() }()
	stream.Status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		stream.Fault = decodeFault(response)
		return stream
	}
	stream.read(response)
	return stream
}

func (c *Client) authorise(request *http.Request) {
	request.Header.Set("Authorization", "Bearer "+APIKey(c.Organisation))
}

func decodeFault(response *http.Response) *callers.ErrorDetail {
	var body callers.ErrorBody
	_ = json.NewDecoder(response.Body).Decode(&body)
	return &body.Error
}

// streamChunk is the data of one event: a part of the answer or an error.
type streamChunk struct {
	Choices []enginewire.Choice  `json:"choices"`
	Error   *callers.ErrorDetail `json:"error"`
}

func (s *Stream) read(response *http.Response) {
	for event, err := range sse.Read(response.Body, nil) {
		if err != nil {
			s.Err = Error.Wrap(err)
			return
		}
		if event.Data == enginewire.StreamEnd {
			s.Finished = true
			return
		}
		var chunk streamChunk
		if err := json.NewDecoder(strings.NewReader(event.Data)).Decode(&chunk); err != nil {
			s.Err = Error.Wrap(err)
			return
		}
		if chunk.Error != nil {
			s.Fault = chunk.Error
			return
		}
		s.LastEventID = event.LastEventID
		s.append(chunk)
	}
	if !s.Finished && s.Err == nil {
		s.Err = Error.New("the stream ended without the [DONE] event")
	}
}

func (s *Stream) append(chunk streamChunk) {
	now := time.Now()
	for _, choice := range chunk.Choices {
		for _, id := range choice.TokenIDs {
			s.Tokens = append(s.Tokens, id)
			s.Arrivals = append(s.Arrivals, now)
		}
	}
}

// CallResult is the result of one call to a plain service as its caller
// observed it.
type CallResult struct {
	// Status is the HTTP status; 0 without a response.
	Status int
	// Order is the order that the answer names.
	Order string
	// Fault is the error that the entry host answered.
	Fault *callers.ErrorDetail
	// Err is a transport error or an answer that can't be decoded.
	Err error
}

// Call sends one call of an order to the orders service, with an idempotency
// key unless key is empty.
func (c *Client) Call(ctx context.Context, base, method, path, order, key string, body []byte) CallResult {
	request, err := http.NewRequestWithContext(ctx, method, base+"/services/"+string(ServiceOrders)+path, bytes.NewReader(body))
	if err != nil {
		return CallResult{Err: Error.Wrap(err)}
	}
	c.authorise(request)
	request.Header.Set("X-Order-Id", order)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return CallResult{Err: Error.Wrap(err)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return CallResult{Status: response.StatusCode, Fault: decodeFault(response)}
	}
	var answer struct {
		Order string `json:"order"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return CallResult{Status: response.StatusCode, Err: Error.Wrap(err)}
	}
	return CallResult{Status: response.StatusCode, Order: answer.Order}
}
