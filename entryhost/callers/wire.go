package callers

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Limits on caller input.
const (
	maxBodyBytes           = 4 << 20
	maxPromptBytes         = 2 << 20
	maxCompletionTokens    = 131_072
	defaultMaxTokens       = 256
	maxIdempotencyKeyBytes = 256
	maxRequestIDBytes      = 128
)

// generationBody holds the members of a caller's body that the entry host
// reads. All others are passed on as sampling settings, except those in
// reservedMembers.
type generationBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	Seed                *int64          `json:"seed"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Echo                bool            `json:"echo"`
	Priority            int             `json:"priority"`
	ReturnTokenIDs      bool            `json:"return_token_ids"`
}

// reservedMembers are the members that the entry host reads or sets itself and
// does not pass on.
var reservedMembers = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options",
	"seed", "n", "best_of", "echo", "priority", "return_token_ids",
}

// decodeGeneration decodes and checks a caller's body. The fields are its
// sampling settings.
func decodeGeneration(content []byte, chat bool) (generationBody, enginewire.Fields, *model.Fault) {
	var body generationBody
	var fields enginewire.Fields
	if err := json.Unmarshal(content, &body); err != nil {
		return body, nil, model.BadField(jsonField(err), "the body is not valid JSON for this endpoint: "+err.Error())
	}
	if err := json.Unmarshal(content, &fields); err != nil {
		return body, nil, model.BadField("body", "the body is not a JSON object")
	}
	for _, name := range reservedMembers {
		delete(fields, name)
	}
	return body, fields, checkGeneration(body, chat)
}

func jsonField(err error) string {
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		return typed.Field
	}
	return "body"
}

func checkGeneration(body generationBody, chat bool) *model.Fault {
	switch {
	case body.Model == "":
		return model.BadField("model", "model is missing; it names the service")
	case chat && len(body.Messages) == 0:
		return model.BadField("messages", "messages is missing")
	case !chat && len(body.Prompt) == 0:
		return model.BadField("prompt", "prompt is missing")
	case len(body.Prompt) > maxPromptBytes || len(body.Messages) > maxPromptBytes:
		return model.BadField("prompt", fmt.Sprintf("the prompt is longer than %d bytes", maxPromptBytes))
	case body.N != nil && *body.N != 1:
		return model.BadField("n", "n must be 1")
	case body.BestOf != nil && *body.BestOf != 1:
		return model.BadField("best_of", "best_of must be 1")
	case body.Echo:
		return model.BadField("echo", "echo is not supported")
	}
	if limit := body.requestedMaxTokens(); limit < 1 || limit > maxCompletionTokens {
		return model.BadField("max_tokens", fmt.Sprintf("max_tokens must be between 1 and %d", maxCompletionTokens))
	}
	return nil
}

func (b generationBody) requestedMaxTokens() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// completionChunk is the body of one event of a streamed completion, or of a
// complete one.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                  `json:"index"`
	Text         *string              `json:"text,omitempty"`
	Delta        *enginewire.Delta    `json:"delta,omitempty"`
	Message      *enginewire.Delta    `json:"message,omitempty"`
	TokenIDs     []enginewire.TokenID `json:"token_ids,omitempty"`
	FinishReason *string              `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerFormat holds the members that all bodies of one answer share.
type answerFormat struct {
	id       model.RequestID
	model    string
	created  int64
	chat     bool
	tokenIDs bool
}

func (f answerFormat) completion(tokens []backends.Token, finish string, promptTokens int) completionChunk {
	choice := completionChoice{FinishReason: &finish}
	text := joinText(tokens)
	object := "text_completion"
	if f.chat {
		object = "chat.completion"
		choice.Message = &enginewire.Delta{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	if f.tokenIDs {
		choice.TokenIDs = tokenIDs(tokens)
	}
	body := f.chunk(object, choice)
	body.Usage = &usage{PromptTokens: promptTokens, CompletionTokens: len(tokens), TotalTokens: promptTokens + len(tokens)}
	return body
}

func (f answerFormat) chunk(object string, choice completionChoice) completionChunk {
	return completionChunk{
		ID: string(f.id), Object: object, Created: f.created, Model: f.model,
		Choices: []completionChoice{choice},
	}
}

func joinText(tokens []backends.Token) string {
	if len(tokens) == 1 {
		return tokens[0].Text
	}
	var text strings.Builder
	for _, token := range tokens {
		text.WriteString(token.Text)
	}
	return text.String()
}

func tokenIDs(tokens []backends.Token) []enginewire.TokenID {
	ids := make([]enginewire.TokenID, len(tokens))
	for i, token := range tokens {
		ids[i] = token.ID
	}
	return ids
}

// ErrorBody is the JSON body of every refusal and error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Type and Code repeat kind and reason under
// the names that OpenAI client libraries read.
type ErrorDetail struct {
	Kind      model.Kind      `json:"kind"`
	Reason    model.Reason    `json:"reason"`
	Executed  model.Executed  `json:"executed"`
	Message   string          `json:"message"`
	Remedy    string          `json:"remedy"`
	Field     string          `json:"param,omitempty"`
	RequestID model.RequestID `json:"request_id,omitempty"`
	Type      model.Kind      `json:"type"`
	Code      model.Reason    `json:"code"`
}

func errorBody(fault *model.Fault, id model.RequestID) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Kind: fault.Kind, Reason: fault.Reason, Executed: fault.Executed, Message: fault.Message,
		Remedy: fault.Remedy, Field: fault.Field, RequestID: id, Type: fault.Kind, Code: fault.Reason,
	}}
}
