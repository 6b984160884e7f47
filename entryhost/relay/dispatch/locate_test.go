package dispatch

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

var _ = Describe("the search for the engine that holds a prompt", func() {
	It("asks the own zone first, so that a resume costs other zones nothing", func() {
		own, others := searchSteps("here", "p", []*routing.Server{server("a", "there"), server("b", "here"), server("c", "here")})
		Expect(own).To(HaveLen(2))
		Expect(others).To(HaveLen(1))
		Expect(others[0].ID).To(Equal("a"))
	})

	It("does not ask ever more engines as a zone grows, and all hosts ask the same ones", func() {
		var engines, reversed []*routing.Server
		for i := range 500 {
			engine := server(fmt.Sprintf("10.1.0.%d:80", i), "here")
			engines = append(engines, engine)
			reversed = append([]*routing.Server{engine}, reversed...)
		}
		own, _ := searchSteps("here", "p", engines)
		same, _ := searchSteps("here", "p", reversed)
		Expect(own).To(HaveLen(locateMost))
		Expect(own).To(Equal(same))
	})
})
