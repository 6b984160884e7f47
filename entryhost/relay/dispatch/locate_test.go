package dispatch

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

var _ = Describe("the search for the engine that holds a prompt", func() {
	It("queries the local data centre first, so that a resume puts no load on others", func() {
		local, remote := searchTargets("here", []*routing.Server{server("a", "there"), server("b", "here"), server("c", "here")})
		Expect(local).To(HaveLen(2))
		Expect(remote).To(HaveLen(1))
		Expect(remote[0].ID).To(Equal("a"))
	})

	It("queries no engine when the queries would cost more than reading the prompt again", func() {
		var engines []*routing.Server
		for i := range maxLocalEnginesQueried + 1 {
			engines = append(engines, server(fmt.Sprintf("near-%d", i), "here"), server(fmt.Sprintf("far-%d", i), "there"))
		}
		local, remote := searchTargets("here", engines)
		Expect(local).To(BeEmpty())
		Expect(remote).To(BeEmpty())
	})
})
