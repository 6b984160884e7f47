package eventcode_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/eventcode"
)

func TestEventcode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventcode")
}

var _ = Describe("the catalogue", func() {
	It("equals docs/events.md, which would otherwise mislead operators", func() {
		page, err := os.ReadFile("../docs/events.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(eventcode.Markdown()), "run: go run ./cmd/lentilpoint-bench events-page > docs/events.md")
	})

	It("has at most one entry for each code", func() {
		seen := map[eventcode.Code]string{}
		for _, entry := range eventcode.Catalogue() {
			Expect(seen).NotTo(HaveKey(entry.Code))
			seen[entry.Code] = entry.Name
		}
	})
})
