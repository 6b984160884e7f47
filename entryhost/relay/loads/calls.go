package loads

import (
	"time"
)

// ServiceCalls holds what hosts have seen of the calls of a plain service.
type ServiceCalls struct {
	// Offered counts new calls, with those that were refused at once.
	Offered int
	// Answers holds the answers by id of the server.
	Answers map[string]Answers
	// Fastest is the shortest answer time that is known, or 0.
	Fastest time.Duration
}

// Answers counts answers, and sums their times.
type Answers struct {
	Count int
	Sum   time.Duration
}

const (
	// CallWindowLength is the time for which calls count. The queue of a server fills
	// within 300 ms, and a data centre has 30 to 70 calls of a service a second, of which
	// a shorter window would hold too few.
	CallWindowLength = 500 * time.Millisecond
	// callSlotLength is the time for which calls are added up, so that the size of a window
	// does not depend on the number of calls.
	callSlotLength = 50 * time.Millisecond
)

// CallWindow holds the recent calls by service.
type CallWindow struct {
	slots []callSlot
}

type callSlot struct {
	at    time.Time
	calls map[string]ServiceCalls
}

// Add adds calls by service.
func (w *CallWindow) Add(calls map[string]ServiceCalls, now time.Time) {
	if len(calls) == 0 {
		return
	}
	w.expire(now)
	if last := len(w.slots) - 1; last < 0 || now.Sub(w.slots[last].at) >= callSlotLength {
		w.slots = append(w.slots, callSlot{at: now, calls: map[string]ServiceCalls{}})
	}
	addCalls(w.slots[len(w.slots)-1].calls, calls)
}

// Sums returns the calls of the window by service.
func (w *CallWindow) Sums(now time.Time) map[string]ServiceCalls {
	w.expire(now)
	sums := map[string]ServiceCalls{}
	for _, slot := range w.slots {
		addCalls(sums, slot.calls)
	}
	return sums
}

func (w *CallWindow) expire(now time.Time) {
	for len(w.slots) > 0 && now.Sub(w.slots[0].at) >= CallWindowLength {
		w.slots = w.slots[1:]
	}
}

// addCalls adds calls to sums, which it changes.
func addCalls(sums, calls map[string]ServiceCalls) {
	for service, added := range calls {
		sum := sums[service]
		sum.Offered += added.Offered
		if sum.Answers == nil {
			sum.Answers = make(map[string]Answers, len(added.Answers))
		}
		for id, answers := range added.Answers {
			sum.Answers[id] = Answers{Count: sum.Answers[id].Count + answers.Count, Sum: sum.Answers[id].Sum + answers.Sum}
		}
		if sum.Fastest == 0 || added.Fastest > 0 && added.Fastest < sum.Fastest {
			sum.Fastest = added.Fastest
		}
		sums[service] = sum
	}
}
