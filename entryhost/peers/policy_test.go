package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/model"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entryHost(id string, dataCentre model.DataCentre) model.Host {
	return model.Host{ID: id, Role: model.RoleEntry, DataCentre: dataCentre, PeerAddress: "10.0.0.1:1", Incarnation: 1}
}

// TestFactOrderProperty guards against an older fact replacing a newer one when
// digests arrive late, out of order or twice.
func TestFactOrderProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewFactStore("self", 1)
		newest := map[string]uint64{}
		for range rapid.IntRange(1, 80).Draw(t, "facts") {
			key := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")
			sequence := rapid.Uint64Range(1, 20).Draw(t, "sequence")
			fact := Fact{Kind: FactUsage, Key: key, Origin: "other", Sequence: sequence, Lifetime: time.Minute}
			newFacts := store.Merge(epoch, []Fact{fact}, 5)
			if (len(newFacts) == 1) != (sequence > newest[key]) {
				t.Fatalf("sequence %d after %d: %d new facts", sequence, newest[key], len(newFacts))
			}
			newest[key] = max(newest[key], sequence)
		}
	})
}

var _ = Describe("the membership table", func() {
	It("counts a listed host as dead once its heartbeats stop, because the list lags", func() {
		table := NewTable("self", "jkt")
		table.ApplyHostList([]model.Host{entryHost("a", "jkt"), entryHost("b", "jkt")})
		table.ApplyHeartbeat(epoch, Heartbeat{ID: "a", Incarnation: 1})
		Expect(table.Members(epoch.Add(time.Second))[0].Alive).To(BeTrue())
		Expect(table.Members(epoch.Add(4 * time.Second))[0].Alive).To(BeFalse())
	})

	It("does not count a dead host as alive again because of an old age from a peer", func() {
		table := NewTable("self", "jkt")
		table.ApplyHostList([]model.Host{entryHost("a", "jkt")})
		table.ApplyHeartbeat(epoch, Heartbeat{ID: "a", Incarnation: 1})
		later := epoch.Add(10 * time.Second)
		table.ApplyAges(later, []MemberAge{newMemberAge("a", 9*time.Second, false)})
		Expect(table.Members(later)[0].Alive).To(BeFalse())
	})

	It("ignores a heartbeat of an earlier incarnation, as a process that was paused may send", func() {
		table := NewTable("self", "jkt")
		table.ApplyHostList([]model.Host{entryHost("a", "jkt")})
		table.ApplyHeartbeat(epoch, Heartbeat{ID: "a", Incarnation: 7})
		table.ApplyHeartbeat(epoch, Heartbeat{ID: "a", Incarnation: 6, Leaving: true})
		Expect(table.Members(epoch)[0].Leaving).To(BeFalse())
		Expect(table.Members(epoch)[0].Incarnation).To(Equal(model.Incarnation(7)))
	})

	It("packs and unpacks the age, the leaving mark and the hash of a member", func() {
		age := newMemberAge("a", 1500*time.Millisecond, true)
		Expect(age.age()).To(Equal(1500 * time.Millisecond))
		Expect(age.leaving()).To(BeTrue())
		Expect(age.hash()).To(Equal(hashID("a")))
		Expect(newMemberAge("a", time.Hour, false).leaving()).To(BeFalse())
	})
})

var _ = Describe("the fact store", func() {
	It("keeps a digest within its byte budget, however many facts there are", func() {
		store := NewFactStore("self", 1)
		for i := range 100 {
			store.Publish(epoch, Fact{Kind: FactUsage, Key: fmt.Sprint(i), Value: make([]byte, 100)}, 22)
		}
		total := 0
		for _, fact := range store.Select(maxDigestBytes, false) {
			total += factBytes(fact)
		}
		Expect(total).To(BeNumerically(">", 0))
		Expect(total).To(BeNumerically("<=", maxDigestBytes))
	})

	It("sends a fact that is larger than the byte budget alone, instead of never", func() {
		store := NewFactStore("self", 1)
		store.Publish(epoch, Fact{Kind: FactUsage, Key: "large", Value: make([]byte, MaxFactBytes)}, 22)
		Expect(store.Select(maxDigestBytes, false)).To(HaveLen(1))
		Expect(store.Select(0, false)).To(BeEmpty())
	})

	It("never holds more than maxFacts facts, and counts the dropped ones", func() {
		store := NewFactStore("self", 1)
		for i := range maxFacts + 10 {
			store.Publish(epoch, Fact{Kind: FactUsage, Key: fmt.Sprint(i)}, 22)
		}
		Expect(store.Len()).To(Equal(maxFacts))
		Expect(store.Dropped).To(Equal(10))
	})

	It("expires facts of a dead origin and refreshes facts of its own host", func() {
		store := NewFactStore("self", 1)
		store.Publish(epoch, Fact{Kind: FactUsage, Key: "own", Lifetime: 3 * time.Second}, 2)
		store.Merge(epoch, []Fact{{Kind: FactUsage, Key: "theirs", Origin: "a", Sequence: 1, Lifetime: 3 * time.Second}}, 2)
		for second := range 5 {
			store.Maintain(epoch.Add(time.Duration(second)*time.Second), 2)
		}
		Expect(store.Len()).To(Equal(1))
	})

	It("sends other data centres only facts with Everywhere", func() {
		store := NewFactStore("self", 1)
		store.Publish(epoch, Fact{Kind: FactUsage, Key: "local"}, 2)
		store.Publish(epoch, Fact{Kind: FactWithdrawal, Key: "global", Everywhere: true}, 2)
		selected := store.Select(maxDigestBytes, true)
		Expect(selected).To(HaveLen(1))
		Expect(selected[0].Key).To(Equal("global"))
	})
})

var _ = Describe("the choice of targets", func() {
	It("has at most two gateways in a data centre, so that links between data centres do not grow with hosts", func() {
		var members []Member
		for i := range 21 {
			members = append(members, Member{ID: model.HostID(fmt.Sprintf("h%d", i)), DataCentre: "jkt", Alive: true})
		}
		Expect(gateways("jkt", members, Member{ID: "self", DataCentre: "jkt", Alive: true})).To(HaveLen(gatewaysPerDataCentre))
	})

	It("includes peers that are not alive when no other is known, so that a healed partition is detected", func() {
		members := []Member{{ID: "a", DataCentre: "jkt"}}
		targets := roundTargets(rand.New(rand.NewPCG(1, 1)), members, Member{ID: "self", DataCentre: "jkt", Alive: true})
		Expect(targets).To(HaveLen(1))
	})

	It("reassigns only the keys of a removed host", func() {
		ids := []model.HostID{"a", "b", "c", "d"}
		for key := range 50 {
			before := RendezvousRank(fmt.Sprint(key), ids)[0]
			after := RendezvousRank(fmt.Sprint(key), ids[:3])[0]
			if before != "d" {
				Expect(after).To(Equal(before))
			}
		}
	})
})
