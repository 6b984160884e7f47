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

	It("stay valid for less than 2 s after the store's recovery although they lapsed", func() {
		merged, recheckAt := mergeRegistrations(old, present, now.Add(-time.Second), now)
		Expect(merged).To(HaveKey("b"))
		Expect(recheckAt.Sub(now)).To(BeNumerically("<", time.Second))
	})

	It("are removed after that", func() {
		merged, recheckAt := mergeRegistrations(old, present, now.Add(-2*time.Second), now)
		Expect(merged).NotTo(HaveKey("b"))
		Expect(recheckAt).To(BeZero())
	})

	It("are removed at once without an outage, so that a server that leaves gets no new work", func() {
		merged, _ := mergeRegistrations(old, present, time.Time{}, now)
		Expect(merged).NotTo(HaveKey("b"))
	})
})
