package requests

import (
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Ledger records what is known of one generation: the prompt, the version and
// each token accepted so far. It is a plain value without a clock or socket.
type Ledger struct {
	version   model.Version
	attempt   backends.Attempt
	promptIDs []enginewire.TokenID
	tokens    []backends.Token
	// hash covers all accepted token ids in order.
	hash   uint64
	finish string
}

// Attempt returns the number of the current attempt.
func (l *Ledger) Attempt() backends.Attempt { return l.attempt }

// Version returns the version that this request is bound to; empty before the
// first assignment that delivered a token.
func (l *Ledger) Version() model.Version { return l.version }

// Len returns the number of accepted tokens.
func (l *Ledger) Len() int { return len(l.tokens) }

// Finished returns the engine's reason for the regular end, or "".
func (l *Ledger) Finished() string { return l.finish }

// PromptKnown reports whether the token ids of the prompt are known.
func (l *Ledger) PromptKnown() bool { return l.promptIDs != nil }

// Since returns the tokens from the position on.
func (l *Ledger) Since(position int) []backends.Token { return l.tokens[position:] }

// Begin starts the next attempt, after which events of earlier ones are refused.
func (l *Ledger) Begin() backends.Attempt {
	l.attempt++
	return l.attempt
}

// Accept appends the tokens of an event. It returns false and changes nothing
// if the event belongs to an earlier attempt or the generation has ended.
func (l *Ledger) Accept(version model.Version, event backends.StreamEvent) bool {
	if event.Attempt != l.attempt || l.finish != "" {
		return false
	}
	if l.version != "" && l.version != version {
		return false
	}
	if event.PromptIDs != nil && l.promptIDs == nil {
		l.promptIDs = event.PromptIDs
	}
	if len(event.Tokens) > 0 {
		l.version = version
	}
	for _, token := range event.Tokens {
		l.hash = enginewire.RollHash(l.hash, token.ID)
		l.tokens = append(l.tokens, token)
	}
	l.finish = event.Finish
	return true
}

// Continuation returns the prompt extended by all accepted tokens. It reports
// false when tokens were accepted but the prompt's ids are unknown, so that an
// exact continuation is not possible.
func (l *Ledger) Continuation() ([]enginewire.TokenID, bool) {
	if !l.PromptKnown() {
		return nil, len(l.tokens) == 0
	}
	ids := make([]enginewire.TokenID, 0, len(l.promptIDs)+len(l.tokens))
	ids = append(ids, l.promptIDs...)
	for _, token := range l.tokens {
		ids = append(ids, token.ID)
	}
	return ids, true
}
