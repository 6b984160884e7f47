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

// Client is a caller of one organisation.
type Client struct {
	HTTP         *http.Client
	Organisation model.OrganisationID
}

// NewClient returns a caller with its own connections.
func NewClient(organisation model.OrganisationID) *Client {
	return &Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, Organisation: organisation}
}

// Close closes the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// GenerationRequest is the body that the experiments send.
type GenerationRequest struct {
	Model          string               `json:"model"`
	Prompt         string               `json:"prompt,omitempty"`
	Messages       []ChatMessage        `json:"messages,omitempty"`
	PromptTokens   []enginewire.TokenID `json:"-"`
	MaxTokens      int                  `json:"max_tokens"`
	Seed           int64                `json:"seed"`
	Stream         bool                 `json:"stream"`
	ReturnTokenIDs bool                 `json:"return_token_ids"`
}

// ChatMessage is one turn of a chat; a request with messages uses the chat route.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// path returns the route of the request.
func (r GenerationRequest) path() string {
	if len(r.Messages) > 0 {
		return enginewire.PathChatCompletions
	}
	return enginewire.PathCompletions
}

// MarshalJSON sends the prompt as token ids if there are any.
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
	Tokens   []enginewire.TokenID
	Arrivals []time.Time
	Sent     time.Time
	// Ended is when the answer ended or its refusal was read.
	Ended    time.Time
	Finished bool
	// LastEventID is the id of the last event received.
	LastEventID string
	Status      int
	Fault       *callers.ErrorDetail
	// Err is a transport error, such as the death of the entry host.
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

// Generate sends a streamed generation and reads it to its end. A lastEventID
// that is not empty continues an earlier stream.
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
	c.sign(request)
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

func (c *Client) sign(request *http.Request) {
	request.Header.Set("Authorization", "Bearer "+Key(c.Organisation))
}

func decodeFault(response *http.Response) *callers.ErrorDetail {
	var body callers.ErrorBody
	_ = json.NewDecoder(response.Body).Decode(&body)
	return &body.Error
}

// streamChunk is a chunk or an error event.
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
		s.Err = Error.New("the stream ended without its end mark")
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

// CallResult is what a caller learned of one call to a plain service.
type CallResult struct {
	Status int
	// Order is the order that the answer names.
	Order string
	Fault *callers.ErrorDetail
	Err   error
}

// Call sends one call to the plain service.
func (c *Client) Call(ctx context.Context, base, method, path, order, key string, body []byte) CallResult {
	request, err := http.NewRequestWithContext(ctx, method, base+"/services/"+string(ServiceOrders)+path, bytes.NewReader(body))
	if err != nil {
		return CallResult{Err: Error.Wrap(err)}
	}
	c.sign(request)
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
