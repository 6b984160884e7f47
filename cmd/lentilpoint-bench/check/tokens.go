package check

import (
	"github.com/lentilpoint/lentilpoint/enginewire"
)

// Violations counts violations by name. A name without violations is absent.
type Violations map[string]int

// The names of the violations.
const (
	// MissingTokens counts answers that skip tokens or end too early.
	MissingTokens = "missing_tokens"
	// RepeatedTokens counts answers that contain tokens twice.
	RepeatedTokens = "repeated_tokens"
	// MixedTokens counts answers with other unexpected tokens, such as those of
	// another generation.
	MixedTokens = "mixed_tokens"
	// DoubleExecutions counts orders that were executed more than once.
	DoubleExecutions = "double_executions"
	// FalseNotRun counts requests that ran although they were refused as not run.
	FalseNotRun = "false_not_run"
	// LostAnswers counts generations that ended without a result or an error, and
	// answers to orders that no server executed.
	LostAnswers = "lost_answers"
	// CutAnswers counts answers that ended with an error although healthy servers
	// were available.
	CutAnswers = "cut_answers"
	// CrossedAnswers counts answers that belong to another order.
	CrossedAnswers = "crossed_answers"
	// TwoHolders is set if two holders acted at once under leases of one service.
	TwoHolders = "two_holders"
	// DoubleOrders counts orders that took effect on a server more than once.
	DoubleOrders = "double_orders"
	// WrongVersions counts servers that do not end with the wanted versions.
	WrongVersions = "wrong_versions"
	// LoadsAtOnce is set if more servers loaded at once than the limit allows.
	LoadsAtOnce = "loads_at_once"
	// UnfinishedMoves counts moves to good versions that were withdrawn or passed
	// their deadline.
	UnfinishedMoves = "unfinished_moves"
	// KeptBadVersions counts bad versions that were not withdrawn.
	KeptBadVersions = "kept_bad_versions"
	// BadShares counts bad versions that received a larger share of the requests
	// than the limit allows.
	BadShares = "bad_shares"
	// LateToBad counts requests that a bad version received too long after its
	// fault became observable.
	LateToBad = "late_to_bad"
)

// Total returns the number of all violations.
func (v Violations) Total() int {
	var total int
	for _, count := range v {
		total += count
	}
	return total
}

// Add adds the violations of another set.
func (v Violations) Add(other Violations) {
	for name, count := range other {
		v[name] += count
	}
}

// Answer is what one caller received of a generation.
type Answer struct {
	Request string
	Tokens  []enginewire.TokenID
	// Finished is true if the caller received the regular end of the stream.
	Finished bool
	// Refused is true if the caller received a typed error.
	Refused bool
}

// Tokens compares an answer with the expected tokens. The tokens of a finished
// answer must equal them; those of an answer that ended with an error must be a
// prefix.
func Tokens(answer Answer, expected []enginewire.TokenID) Violations {
	violations := Violations{}
	if !answer.Finished && !answer.Refused {
		violations[LostAnswers]++
	}
	at := firstDifference(answer.Tokens, expected)
	if at == len(answer.Tokens) {
		if answer.Finished && at < len(expected) {
			violations[MissingTokens]++
		}
		return violations
	}
	violations[classify(answer.Tokens, expected, at)]++
	return violations
}

// CompleteTokens is Tokens for runs in which healthy servers are available at
// all times: it also requires that the answer did not end with an error.
func CompleteTokens(answer Answer, expected []enginewire.TokenID) Violations {
	violations := Tokens(answer, expected)
	if answer.Refused {
		violations[CutAnswers]++
	}
	return violations
}

func firstDifference(got, expected []enginewire.TokenID) int {
	for i := range got {
		if i >= len(expected) || got[i] != expected[i] {
			return i
		}
	}
	return len(got)
}

// classify returns the violation at the first difference: a token that occurs in
// the 64 expected tokens before it is a repetition, one that is expected within
// the next 64 is a gap, and any other is a mix.
func classify(got, expected []enginewire.TokenID, at int) string {
	const window = 64
	for i := max(0, at-window); i < at; i++ {
		if expected[i] == got[at] {
			return RepeatedTokens
		}
	}
	for i := at; i < min(len(expected), at+window); i++ {
		if expected[i] == got[at] {
			return MissingTokens
		}
	}
	return MixedTokens
}
