package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentilpoint/lentilpoint/model"
)

// BenchmarkDispatch measures one dispatch and its Done with the 206 servers of one
// data centre of the target size.
func BenchmarkDispatch(b *testing.B) {
	bench := newTestDispatcher(DefaultPolicies())
	bench.addServers(206, 32)
	hashes := []uint64{11, 12, 13, 14}
	reply := make(chan DispatchResult, 1)
	dispatch := Dispatch{Request: Request{
		Service: service, Organisation: "wands", Version: "v1", Cost: 10,
		Deadline: start.Add(time.Hour), PrefixHashes: hashes,
	}, Reply: reply}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		bench.handle(dispatch)
		bench.assignWaiting()
		assignment := (<-reply).Assignment
		bench.handle(Done{ID: assignment.ID, Outcome: OutcomeCancelled})
	}
}

// BenchmarkFairQueue measures pushing and taking one dispatch while many
// organisations wait.
func BenchmarkFairQueue(b *testing.B) {
	for _, organisations := range []int{10, 910, 9100} {
		b.Run(fmt.Sprint(organisations), func(b *testing.B) {
			queue := NewFairQueue()
			names := make([]model.OrganisationID, organisations)
			for i := range names {
				names[i] = model.OrganisationID(fmt.Sprint("organisation-", i))
				queue.Push(newQueuedDispatch(string(names[i]), 1))
			}
			take := func(WaitingDispatch) (float64, bool) { return 1, true }
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				queue.Push(WaitingDispatch{Dispatch: Dispatch{Request: Request{Organisation: names[i%organisations], Cost: 1}}})
				queue.Next(take)
			}
		})
	}
}
