package forward

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

var _ = Describe("the copies of a run's cache", func() {
	copyAt := func(id string) dispatch.CopyResult { return dispatch.CopyResult{Holder: &routing.Server{ID: id}} }

	It("are tried one after another when the run is lost, the requested one first", func() {
		c := newCopies()
		c.backup, c.requested = copyAt("backup"), copyAt("requested")
		c.attemptEnded(true)
		Expect(c.takeResumable().HolderID()).To(Equal("requested"))
		Expect(c.takeResumable().HolderID()).To(Equal("backup"))
		Expect(c.takeResumable().HolderID()).To(BeEmpty())
	})

	It("of an earlier attempt stay when the next one sends no event, as in a partition", func() {
		c := newCopies()
		c.backup, c.requested = copyAt("backup"), copyAt("requested")
		c.attemptEnded(true)
		c.takeResumable()
		c.backup = copyAt("new")
		c.attemptEnded(false)
		Expect(c.takeResumable().HolderID()).To(Equal("backup"), "an attempt without an event has no copy of its own")
	})

	It("of an earlier attempt are dropped once a later one has sent events", func() {
		c := newCopies()
		c.backup = copyAt("old")
		c.attemptEnded(true)
		c.backup = copyAt("new")
		c.attemptEnded(true)
		Expect(c.takeResumable().HolderID()).To(Equal("new"))
		Expect(c.takeResumable().HolderID()).To(BeEmpty())
	})

	It("ignore the loss of a holder of an earlier attempt", func() {
		c := newCopies()
		c.lost <- "old"
		c.attemptEnded(true)
		Expect(c.lost).NotTo(Receive())
	})
})
