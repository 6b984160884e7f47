package requests

import (
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Mark is a position in a generation with the rolling hash of all token ids
// before it.
type Mark struct {
	Position int
	Hash     uint64
}

// Ledger records what is known of one generation: the prompt, the version and
// each token accepted so far. It is a plain value without a clock or socket.
type Ledger struct {
	version model.Version
	// attempt is the one whose tokens are accepted; issued is the newest number.
	attempt   backends.Attempt
	issued    backends.Attempt
	promptIDs []enginewire.TokenID
	// start is the position of the first token held; it is above 0 when an
	// engine's stream was joined in the middle.
	start  int
	tokens []backends.Token
	// hash covers all token ids up to Len in order.
	hash   uint64
	finish string
	// delivered is what the caller has received. A generation from the prompt
	// has to pass through it.
	delivered Mark
	diverged  bool
}

// NewLedger returns the ledger of a caller that has already received the
// tokens up to the mark from this version.
func NewLedger(version model.Version, delivered Mark) Ledger {
	return Ledger{version: version, delivered: delivered}
}

// Attempt returns the number of the attempt whose tokens are accepted.
func (l *Ledger) Attempt() backends.Attempt { return l.attempt }

// Issued returns the number of attempts so far.
func (l *Ledger) Issued() backends.Attempt { return l.issued }

// Version returns the version that this request is bound to; empty before the
// first assignment that delivered a token.
func (l *Ledger) Version() model.Version { return l.version }

// Len returns the position after the last accepted token.
func (l *Ledger) Len() int { return l.start + len(l.tokens) }

// Finished returns the engine's reason for the regular end, or "".
func (l *Ledger) Finished() string { return l.finish }

// Finish ends a generation that has all its tokens.
func (l *Ledger) Finish(reason string) { l.finish = reason }

// Diverged reports that a repeated generation differs from what the caller received.
func (l *Ledger) Diverged() bool { return l.diverged }

// Delivered returns the mark that repeated generations have to pass through.
func (l *Ledger) Delivered() Mark { return l.delivered }

// PromptKnown reports whether the token ids of the prompt are known.
func (l *Ledger) PromptKnown() bool { return l.promptIDs != nil }

// Joined reports that the ledger lacks the tokens before an engine's stream was joined.
func (l *Ledger) Joined() bool { return l.start > 0 }

// Since returns the tokens from the position on.
func (l *Ledger) Since(position int) []backends.Token {
	if position >= l.Len() {
		return nil
	}
	return l.tokens[position-l.start:]
}

// Issue numbers a further attempt without accepting its tokens yet.
func (l *Ledger) Issue() backends.Attempt {
	l.issued++
	return l.issued
}

// Lead makes an attempt the one whose tokens are accepted; events of all others
// are refused from now on.
func (l *Ledger) Lead(attempt backends.Attempt) { l.attempt = attempt }

// Begin starts the next attempt, after which events of earlier ones are refused.
func (l *Ledger) Begin() backends.Attempt {
	l.Lead(l.Issue())
	return l.attempt
}

// Join makes the next tokens follow the delivered ones, as an engine's own
// stream resumed at that position does.
func (l *Ledger) Join() {
	l.start = l.delivered.Position
	l.hash = l.delivered.Hash
}

// Forget drops the tokens held, so that the next attempt generates from the
// prompt again and has to pass through the delivered mark.
func (l *Ledger) Forget(delivered Mark) {
	*l = Ledger{version: l.version, attempt: l.attempt, issued: l.issued, delivered: delivered}
}

// Accept appends the tokens of an event. It returns false and changes nothing
// if the event belongs to another attempt or the generation has ended.
func (l *Ledger) Accept(version model.Version, event backends.StreamEvent) bool {
	if event.Attempt != l.attempt || l.finish != "" || l.diverged {
		return false
	}
	if l.version != "" && l.version != version {
		return false
	}
	if event.PromptIDs != nil && l.promptIDs == nil && l.Len() == 0 {
		l.promptIDs = event.PromptIDs
	}
	if len(event.Tokens) > 0 {
		l.version = version
	}
	for _, token := range event.Tokens {
		l.append(token)
		if l.diverged {
			return true
		}
	}
	if event.Finish != "" && l.Len() < l.delivered.Position {
		l.diverged = true
		return true
	}
	l.finish = event.Finish
	return true
}

func (l *Ledger) append(token backends.Token) {
	l.hash = enginewire.RollHash(l.hash, token.ID)
	l.tokens = append(l.tokens, token)
	if l.Len() == l.delivered.Position && l.hash != l.delivered.Hash {
		l.diverged = true
	}
}

// Continuation returns the prompt extended by all accepted tokens. It reports
// false when tokens were accepted but the ids before them are unknown, so that
// an exact continuation is not possible.
func (l *Ledger) Continuation() ([]enginewire.TokenID, bool) {
	if !l.PromptKnown() || l.Joined() {
		return nil, l.Len() == 0
	}
	ids := make([]enginewire.TokenID, 0, len(l.promptIDs)+len(l.tokens))
	ids = append(ids, l.promptIDs...)
	for _, token := range l.tokens {
		ids = append(ids, token.ID)
	}
	return ids, true
}
