package check

import (
	"github.com/lentilpoint/lentilpoint/enginewire"
)

// Violations counts broken guarantees by name.
type Violations map[string]int

// The names of the guarantees.
const (
	MissingTokens    = "missing_tokens"
	RepeatedTokens   = "repeated_tokens"
	MixedTokens      = "mixed_tokens"
	DoubleExecutions = "double_executions"
	FalseNotRun      = "false_not_run"
	LostAnswers      = "lost_answers"
	// CutAnswers ended with an error although healthy servers were left.
	CutAnswers     = "cut_answers"
	CrossedAnswers = "crossed_answers"
	// TwoHolders acted at once under leases of one service.
	TwoHolders = "two_holders"
	// DoubleOrders took effect on a server more than once.
	DoubleOrders = "double_orders"
	// WrongVersions are servers that do not end with the wanted versions.
	WrongVersions = "wrong_versions"
	// LoadsAtOnce exceeded the limit of servers that load at once.
	LoadsAtOnce = "loads_at_once"
	// UnfinishedMoves of good versions were withdrawn or passed their deadline.
	UnfinishedMoves = "unfinished_moves"
	// KeptBadVersions were not withdrawn.
	KeptBadVersions = "kept_bad_versions"
	// BadShares exceeded the limit of the traffic that a bad version may receive.
	BadShares = "bad_shares"
	// LateToBad are requests that a bad version received after its fault showed.
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

// Add counts the violations of another set.
func (v Violations) Add(other Violations) {
	for name, count := range other {
		v[name] += count
	}
}

// Answer is what one caller received of a generation.
type Answer struct {
	Request string
	Tokens  []enginewire.TokenID
	// Finished tells that the caller saw the regular end.
	Finished bool
	// Refused tells that the caller received a typed error.
	Refused bool
}

// Tokens compares an answer with the expected tokens. A finished answer must
// be equal; one that ended with an error must be a prefix.
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

// Whole also requires that the answer finished. It applies to runs in which
// healthy servers are left at all times.
func Whole(answer Answer, expected []enginewire.TokenID) Violations {
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

// classify names the violation at the first difference: a token seen shortly
// before is a repetition, one expected shortly after is a gap, all else a mix.
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
