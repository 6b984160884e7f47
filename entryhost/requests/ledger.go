package requests

import (
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/entryhost/backends"
	"github.com/lentilpoint/lentilpoint/model"
)

// Mark is a position in an answer and the rolling hash of all token ids before
// it.
type Mark struct {
	Position int
	Hash     uint64
}

// Ledger records the state of one generation: the prompt, the version and each
// accepted token. It is a plain value without a clock or socket.
type Ledger struct {
	version model.Version
	// acceptedAttempt is the attempt whose tokens are accepted; issuedAttempts is
	// the newest attempt number.
	acceptedAttempt backends.Attempt
	issuedAttempts  backends.Attempt
	promptIDs       []enginewire.TokenID
	// startPosition is the position of the first stored token. It is above 0 when
	// an engine stream was joined in the middle.
	startPosition int
	tokens        []backends.Token
	// hash covers all token ids up to Len in order.
	hash         uint64
	finishReason string
	// delivered is what the caller received before this request. A repeated
	// generation must reproduce it.
	delivered Mark
	diverged  bool
}

// NewLedger returns the ledger of an answer of this version that the caller has
// already received up to the mark.
func NewLedger(version model.Version, delivered Mark) Ledger {
	return Ledger{version: version, delivered: delivered}
}

// AcceptedAttempt returns the number of the attempt whose tokens are accepted.
func (l *Ledger) AcceptedAttempt() backends.Attempt { return l.acceptedAttempt }

// IssuedAttempts returns the number of attempts issued so far, which is the
// newest attempt number.
func (l *Ledger) IssuedAttempts() backends.Attempt { return l.issuedAttempts }

// Version returns the version to which this request is bound. It is empty until
// an attempt has delivered a token.
func (l *Ledger) Version() model.Version { return l.version }

// Len returns the position after the last accepted token.
func (l *Ledger) Len() int { return l.startPosition + len(l.tokens) }

// FinishReason returns the finish reason, or "" before the regular end.
func (l *Ledger) FinishReason() string { return l.finishReason }

// Finish ends a generation that has all its tokens, with this finish reason.
func (l *Ledger) Finish(reason string) { l.finishReason = reason }

// Diverged reports whether a repeated generation differs from what the caller
// received.
func (l *Ledger) Diverged() bool { return l.diverged }

// Delivered returns the mark that a repeated generation must reproduce.
func (l *Ledger) Delivered() Mark { return l.delivered }

// PromptKnown reports whether the token ids of the prompt are known.
func (l *Ledger) PromptKnown() bool { return l.promptIDs != nil }

// Joined reports whether the ledger lacks the tokens before the position at
// which an engine stream was joined.
func (l *Ledger) Joined() bool { return l.startPosition > 0 }

// TokensFrom returns the accepted tokens from the position on.
func (l *Ledger) TokensFrom(position int) []backends.Token {
	if position >= l.Len() {
		return nil
	}
	return l.tokens[position-l.startPosition:]
}

// IssueAttempt returns the number of a new attempt, whose tokens are not
// accepted yet.
func (l *Ledger) IssueAttempt() backends.Attempt {
	l.issuedAttempts++
	return l.issuedAttempts
}

// AcceptOnly makes the ledger accept the tokens of this attempt only.
func (l *Ledger) AcceptOnly(attempt backends.Attempt) { l.acceptedAttempt = attempt }

// BeginAttempt issues the next attempt and makes the ledger accept its tokens
// only.
func (l *Ledger) BeginAttempt() backends.Attempt {
	l.AcceptOnly(l.IssueAttempt())
	return l.acceptedAttempt
}

// Join makes the next tokens follow the delivered ones, as those of an engine
// stream do that is resumed at that position.
func (l *Ledger) Join() {
	l.startPosition = l.delivered.Position
	l.hash = l.delivered.Hash
}

// Reset drops the stored tokens, so that the next attempt generates from the
// prompt again and must reproduce the delivered mark.
func (l *Ledger) Reset(delivered Mark) {
	*l = Ledger{version: l.version, acceptedAttempt: l.acceptedAttempt, issuedAttempts: l.issuedAttempts, delivered: delivered}
}

// Accept appends the tokens of an event. It returns false and changes nothing
// if the event belongs to another attempt or version, or if the generation has
// ended.
func (l *Ledger) Accept(version model.Version, event backends.StreamEvent) bool {
	if event.Attempt != l.acceptedAttempt || l.finishReason != "" || l.diverged {
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
	l.finishReason = event.Finish
	return true
}

func (l *Ledger) append(token backends.Token) {
	l.hash = enginewire.ExtendHash(l.hash, token.ID)
	l.tokens = append(l.tokens, token)
	if l.Len() == l.delivered.Position && l.hash != l.delivered.Hash {
		l.diverged = true
	}
}

// Continuation returns the token ids of the prompt followed by those of all
// accepted tokens. It returns false if tokens were accepted but the ids before
// them are unknown, so that an exact continuation is not possible.
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
