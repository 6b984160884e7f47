package routing

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("a configuration", func() {
	config := NewConfig(1, Limits{}, []Route{
		{Name: "wide", Host: "Site.example", Prefix: "/a/"},
		{Name: "narrow", Host: "site.example", Prefix: "/a/b/"},
	}, nil, map[string]Organisation{"key": {Name: "members"}})

	DescribeTable("matches the longest prefix of the host, since a shorter one may belong to another service",
		func(host, path, name string) {
			route, found := config.Match(host, path)
			Expect(found).To(Equal(name != ""))
			if found {
				Expect(route.Name).To(Equal(name))
			}
		},
		Entry("the longer prefix", "site.example", "/a/b/c", "narrow"),
		Entry("the shorter prefix", "site.example", "/a/x", "wide"),
		Entry("a host with a port and capitals", "SITE.example:80", "/a/x", "wide"),
		Entry("a prefix without its last slash", "site.example", "/a", ""),
		Entry("another host", "other.example", "/a/b/c", ""),
	)

	It("finds an organisation only by a configured key", func() {
		_, found := config.Organisation("forged")
		Expect(found).To(BeFalse())
		organisation, found := config.Organisation("key")
		Expect(found).To(BeTrue())
		Expect(organisation.Name).To(Equal("members"))
	})

	It("accepts every caller if no keys are configured", func() {
		_, found := NewConfig(1, Limits{}, nil, nil, nil).Organisation("")
		Expect(found).To(BeTrue())
	})
})

var _ = Describe("a route", func() {
	It("splits requests by weight and never picks a service with weight 0", func() {
		route := Route{Split: []Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "none", Weight: 0}}}
		counts := map[string]int{}
		for i := range 1000 {
			counts[route.Service(float64(i)/1000)]++
		}
		Expect(counts).To(Equal(map[string]int{"old": 900, "new": 100}))
	})

	DescribeTable("is repeatable only if it is idempotent or a resumable stream, so that an order never runs twice",
		func(route Route, repeatable bool) { Expect(route.Repeatable()).To(Equal(repeatable)) },
		Entry("idempotent", Route{Kind: Idempotent}, true),
		Entry("non-idempotent", Route{Kind: NonIdempotent, Resumable: true}, false),
		Entry("a stream", Route{Kind: Streaming}, false),
		Entry("a resumable stream", Route{Kind: Streaming, Resumable: true}, true),
		Entry("an unknown kind", Route{}, false),
	)
})

var _ = Describe("registrations", func() {
	It("are reduced to the newest process of each address, since no server answers to the former id", func() {
		old := &Server{ID: "old", Address: "10.0.0.1:1", StartedAt: time.Second}
		restarted := &Server{ID: "new", Address: "10.0.0.1:1", StartedAt: 2 * time.Second}
		other := &Server{ID: "other", Address: "10.0.0.2:1"}
		newest, superseded := Servers{"old": old, "new": restarted, "other": other}.NewestPerAddress()
		Expect(newest).To(Equal(Servers{"new": restarted, "other": other}))
		Expect(superseded).To(Equal(Servers{"old": old}), "they are usable again if the server at the address has their id")
	})

	// Guards against entries of other writers that hide a sound server: nobody would
	// send them a request, whose answer tells who is at the address.
	DescribeTable("keep a server whose address has a later registration that takes no work of its service",
		func(odd *Server) {
			sound := &Server{ID: "sound", Service: "s", Address: "10.0.0.1:1", StartedAt: time.Second}
			newest, superseded := Servers{"sound": sound, "odd": odd}.NewestPerAddress()
			Expect(newest).To(HaveKeyWithValue("sound", sound))
			Expect(superseded).To(BeEmpty())
		},
		Entry("since it is draining", &Server{ID: "odd", Service: "s", Address: "10.0.0.1:1", StartedAt: time.Hour, Draining: true}),
		Entry("since it is of another service", &Server{ID: "odd", Service: "other", Address: "10.0.0.1:1", StartedAt: time.Hour}),
	)
})
