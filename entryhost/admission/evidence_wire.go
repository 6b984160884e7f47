package admission

import (
	"encoding/json"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// maxSharedServers bounds the servers for each kind of outcome in one fact, so
	// that its value fits into peers.MaxFactBytes.
	maxSharedServers = 6
	// maxOutcomesPerFact bounds the outcomes that are applied from one fact.
	maxOutcomesPerFact = 4096
)

// SharedCounts holds the counts of the new version on one route that an entry host
// publishes. Failed and slow outcomes are also counted by server, for the first
// maxSharedServers servers that had one.
type SharedCounts struct {
	OK             int               `json:"o,omitempty"`
	Failed         int               `json:"f,omitempty"`
	Slow           int               `json:"s,omitempty"`
	FailedByServer map[ServerKey]int `json:"x,omitempty"`
	SlowByServer   map[ServerKey]int `json:"y,omitempty"`
	// encodedTotal is the sum of all counts at the last encoding.
	encodedTotal int
}

func (s *SharedCounts) add(server ServerKey, class outcomeClass) {
	switch class {
	case classOK:
		s.OK++
	case classFailed:
		s.Failed++
		s.FailedByServer = countServer(s.FailedByServer, server)
	case classSlow:
		s.Slow++
		s.SlowByServer = countServer(s.SlowByServer, server)
	}
}

func countServer(counts map[ServerKey]int, server ServerKey) map[ServerKey]int {
	if counts == nil {
		counts = make(map[ServerKey]int)
	}
	if _, found := counts[server]; found || len(counts) < maxSharedServers {
		counts[server]++
	}
	return counts
}

// encode returns the value of the fact, or false if nothing changed since the last
// encoding.
func (s *SharedCounts) encode() ([]byte, bool) {
	sum := s.OK + s.Failed + s.Slow
	if sum == s.encodedTotal {
		return nil, false
	}
	value, err := json.Marshal(s)
	if err != nil {
		return nil, false
	}
	s.encodedTotal = sum
	return value, true
}

func decodeCounts(value []byte) (SharedCounts, error) {
	var counts SharedCounts
	err := json.Unmarshal(value, &counts)
	return counts, Error.Wrap(err)
}

// sharedOutcome is one outcome that a peer observed; server is 0 if unknown.
type sharedOutcome struct {
	server ServerKey
	class  outcomeClass
}

// since returns the outcomes that were added since the earlier counts, at most
// maxOutcomesPerFact. Those on servers that the fact does not name are attributed
// to server 0.
func (s SharedCounts) since(earlier SharedCounts) []sharedOutcome {
	var outcomes []sharedOutcome
	add := func(count int, outcome sharedOutcome) {
		for range min(count, maxOutcomesPerFact-len(outcomes)) {
			outcomes = append(outcomes, outcome)
		}
	}
	add(s.OK-earlier.OK, sharedOutcome{class: classOK})
	addByServer := func(sum int, now, before map[ServerKey]int, class outcomeClass) {
		for server, count := range now {
			add(count-before[server], sharedOutcome{server: server, class: class})
			sum -= count - before[server]
		}
		add(sum, sharedOutcome{class: class})
	}
	addByServer(s.Failed-earlier.Failed, s.FailedByServer, earlier.FailedByServer, classFailed)
	addByServer(s.Slow-earlier.Slow, s.SlowByServer, earlier.SlowByServer, classSlow)
	return outcomes
}

// evidenceKey returns the key of a fact of kind peers.FactEvidence.
func evidenceKey(move model.MoveID, route string) string { return string(move) + " " + route }

func splitEvidenceKey(key string) (model.MoveID, string, bool) {
	move, route, found := strings.Cut(key, " ")
	return model.MoveID(move), route, found
}
