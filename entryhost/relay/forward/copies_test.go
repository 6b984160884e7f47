package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

var _ = Describe("the copies of a run's cache", func() {
	copyAt := func(id string) dispatch.CopyMade { return dispatch.CopyMade{Holder: &routing.Server{ID: id}} }

	It("are tried one after another when the run is lost, the one at home first", func() {
		c := newCopies()
		c.kept, c.ordered = copyAt("kept"), copyAt("home")
		c.ended(true)
		Expect(c.takeSpare().HolderID()).To(Equal("home"))
		Expect(c.takeSpare().HolderID()).To(Equal("kept"))
		Expect(c.takeSpare().HolderID()).To(BeEmpty())
	})

	It("of a former run stay when the next attempt sends no event, as behind a cut", func() {
		c := newCopies()
		c.kept, c.ordered = copyAt("kept"), copyAt("home")
		c.ended(true)
		c.takeSpare()
		c.kept = copyAt("new")
		c.ended(false)
		Expect(c.takeSpare().HolderID()).To(Equal("kept"), "an attempt without an event has left no copy of its own")
	})

	It("of a former run are out of date once another one has sent events", func() {
		c := newCopies()
		c.kept = copyAt("old")
		c.ended(true)
		c.kept = copyAt("new")
		c.ended(true)
		Expect(c.takeSpare().HolderID()).To(Equal("new"))
		Expect(c.takeSpare().HolderID()).To(BeEmpty())
	})

	It("do not hear of a holder that a former attempt lost", func() {
		c := newCopies()
		c.lost <- "old"
		c.ended(true)
		Expect(c.lost).NotTo(Receive())
	})
})
