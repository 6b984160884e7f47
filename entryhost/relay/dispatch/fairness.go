package dispatch

import (
	"math"
	"slices"
	"time"
)

// promptsInTime is the number of prompts at an engine of which the last one is read
// within the latency objective: each takes about a second beside running streams, and
// the objective is some four seconds.
const promptsInTime = 2.0

// maxPromptsWaiting is the number of prompts for each engine above which a stream of an
// organisation that exceeds its share is refused: with the time that its events take
// then, it would not end before its deadline.
const maxPromptsWaiting = 5.0

// maxBacklogWithCopies is the number of prompts for each engine from which streams get
// no copies of their caches.
const maxBacklogWithCopies = 1.0

// promptTime is the time in which an engine reads a prompt beside its streams.
const promptTime = 1200 * time.Millisecond

// demand is what waits at the engines of a data centre.
type demand struct {
	// prompts are the waiting prompts by organisation.
	prompts map[string]int
	engines engineCounts
	// byRank are the waiting prompts by rank; it is nil if urgency does not matter, since
	// the service's streams have one rank. Rank is that of the stream that is decided on.
	byRank map[int]int
	rank   int
}

// engineCounts counts the engines of a data centre.
type engineCounts struct {
	// all take work or, after a crash, will do so within the time in which a prompt is
	// read.
	all int
	// usable is the number of engines that can take a prompt now, and idle is set if one of
	// them reads none. They are known only where urgency matters.
	usable int
	idle   bool
}

// copiesAllowed reports whether new streams get a copy of their cache. While prompts
// wait at the engines their memory is short, and copies push out running streams,
// whose prompts are then read again.
func (d demand) copiesAllowed() bool {
	return d.backlog() < maxBacklogWithCopies && !d.moreUrgentWait()
}

// backlog returns the number of waiting prompts for each engine.
func (d demand) backlog() float64 {
	total := 0
	for _, count := range d.prompts {
		total += count
	}
	return float64(total) / float64(max(d.engines.all, 1))
}

// exceedsShare reports whether the organisation has more prompts waiting than its fair
// share while the engines have more than they read in time.
func (d demand) exceedsShare(organisation string) bool {
	return float64(d.prompts[organisation]) >= fairShare(d.prompts, promptsInTime*float64(d.engines.all))
}

// refusal returns whether a stream of the organisation is to be refused, and after
// which time the caller may return. Random is uniform in [0, 1) and spreads the
// returns over the time in which the backlog is read.
func (d demand) refusal(organisation string, random float64) (retryAfter time.Duration, refused bool) {
	backlog := d.backlogAhead()
	if backlog < maxPromptsWaiting || !d.exceedsShare(organisation) {
		return 0, false
	}
	untilRoom := (backlog - promptsInTime) * float64(promptTime)
	return time.Duration((0.5 + random) * untilRoom), true
}

// fairShare returns the largest number of waiting prompts that an organisation may
// have if the capacity is divided evenly: organisations that need less leave the rest
// to the others. It is infinite while all prompts fit.
func fairShare(counts map[string]int, capacity float64) float64 {
	sorted := make([]int, 0, len(counts))
	for _, count := range counts {
		sorted = append(sorted, count)
	}
	slices.Sort(sorted)
	for i, count := range sorted {
		share := capacity / float64(len(sorted)-i)
		if float64(count) > share {
			return share
		}
		capacity -= float64(count)
	}
	return math.Inf(1)
}
