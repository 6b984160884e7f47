package catalog

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

func TestCatalog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catalog")
}

var _ = Describe("registrations after an outage of the store", func() {
	now := time.Unix(100, 0)
	old := routing.Servers{"a": {ID: "a"}, "b": {ID: "b"}}
	present := routing.Servers{"a": {ID: "a"}}

	It("count for 2 s after the store's return although they lapsed", func() {
		merged, again := merge(old, present, now.Add(-time.Second), now)
		Expect(merged).To(HaveKey("b"))
		Expect(again.Sub(now)).To(BeNumerically("<", time.Second))
	})

	It("are gone after that", func() {
		merged, again := merge(old, present, now.Add(-2*time.Second), now)
		Expect(merged).NotTo(HaveKey("b"))
		Expect(again).To(BeZero())
	})

	It("are gone at once without an outage, so that a leaving server gets no new work", func() {
		merged, _ := merge(old, present, time.Time{}, now)
		Expect(merged).NotTo(HaveKey("b"))
	})
})
