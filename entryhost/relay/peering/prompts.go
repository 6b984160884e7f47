package peering

import (
	"context"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/task"
)

// Prompts is the net/rpc service that locates prompts for other hosts.
type Prompts struct {
	dispatcher task.Mailbox[dispatch.Message]
}

// PromptQuery asks for the engine whose cache holds a prompt.
type PromptQuery struct {
	Service string
	Prompt  string
}

// Locate sets server to the id of the engine, or to "" if none holds the prompt.
func (p *Prompts) Locate(query PromptQuery, server *string) error {
	// The engines are queried in two groups.
	ctx, cancel := context.WithTimeout(context.Background(), 3*callTimeout)
	defer cancel()
	located, err := task.Call(ctx, p.dispatcher, func(reply task.Reply[string]) dispatch.Message {
		return dispatch.Locate{Service: query.Service, Prompt: query.Prompt, Here: true, Reply: reply}
	})
	*server = located
	return err
}

// PromptLocator implements dispatch.PromptLocator.
type PromptLocator struct{}

// Locate implements dispatch.PromptLocator.
func (PromptLocator) Locate(ctx context.Context, host, service, prompt string) (string, error) {
	var server string
	err := call(ctx, host, promptsService+".Locate", PromptQuery{Service: service, Prompt: prompt}, &server)
	return server, err
}
