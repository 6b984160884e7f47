package admission

import (
	"encoding/json"
	"strings"

	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// sharedServers bounds the servers named in one fact, so that its value stays
	// below peers.MaxFactBytes.
	sharedServers = 6
	// maxDelta bounds the outcomes taken from one fact.
	maxDelta = 4096
)

// SharedCounts are the counts of the new version that an entry host shares for
// one route. Failed and slow outcomes are also counted for each of the first
// servers that had one.
type SharedCounts struct {
	OK     int               `json:"o,omitempty"`
	Failed int               `json:"f,omitempty"`
	Slow   int               `json:"s,omitempty"`
	FailOn map[ServerKey]int `json:"x,omitempty"`
	SlowOn map[ServerKey]int `json:"y,omitempty"`
	// shared is the sum at the last encoding.
	shared int
}

func (s *SharedCounts) add(server ServerKey, sort outcomeSort) {
	switch sort {
	case sortOK:
		s.OK++
	case sortFailed:
		s.Failed++
		s.FailOn = countOn(s.FailOn, server)
	case sortSlow:
		s.Slow++
		s.SlowOn = countOn(s.SlowOn, server)
	}
}

func countOn(counts map[ServerKey]int, server ServerKey) map[ServerKey]int {
	if counts == nil {
		counts = make(map[ServerKey]int)
	}
	if _, found := counts[server]; found || len(counts) < sharedServers {
		counts[server]++
	}
	return counts
}

// encode returns the value of the fact, and false if nothing changed.
func (s *SharedCounts) encode() ([]byte, bool) {
	sum := s.OK + s.Failed + s.Slow
	if sum == s.shared {
		return nil, false
	}
	value, err := json.Marshal(s)
	if err != nil {
		return nil, false
	}
	s.shared = sum
	return value, true
}

func decodeCounts(value []byte) (SharedCounts, error) {
	var counts SharedCounts
	err := json.Unmarshal(value, &counts)
	return counts, Error.Wrap(err)
}

// sharedOutcome is one outcome that a peer observed.
type sharedOutcome struct {
	server ServerKey
	sort   outcomeSort
}

// since returns the outcomes that were added after the earlier counts. Outcomes
// on servers that the fact does not name are attributed to server 0.
func (s SharedCounts) since(earlier SharedCounts) []sharedOutcome {
	var outcomes []sharedOutcome
	add := func(count int, outcome sharedOutcome) {
		for range min(count, maxDelta-len(outcomes)) {
			outcomes = append(outcomes, outcome)
		}
	}
	add(s.OK-earlier.OK, sharedOutcome{sort: sortOK})
	unnamed := func(sum int, now, before map[ServerKey]int, sort outcomeSort) {
		for server, count := range now {
			add(count-before[server], sharedOutcome{server: server, sort: sort})
			sum -= count - before[server]
		}
		add(sum, sharedOutcome{sort: sort})
	}
	unnamed(s.Failed-earlier.Failed, s.FailOn, earlier.FailOn, sortFailed)
	unnamed(s.Slow-earlier.Slow, s.SlowOn, earlier.SlowOn, sortSlow)
	return outcomes
}

// evidenceKey is the key of a FactEvidence.
func evidenceKey(move model.MoveID, route string) string { return string(move) + " " + route }

func splitEvidenceKey(key string) (model.MoveID, string, bool) {
	move, route, found := strings.Cut(key, " ")
	return model.MoveID(move), route, found
}
