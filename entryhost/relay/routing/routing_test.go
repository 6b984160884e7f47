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

	DescribeTable("matches the longest prefix of the host, which would otherwise reach another service",
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

	It("knows only the keys that it holds", func() {
		_, found := config.Organisation("forged")
		Expect(found).To(BeFalse())
		organisation, found := config.Organisation("key")
		Expect(found).To(BeTrue())
		Expect(organisation.Name).To(Equal("members"))
	})

	It("needs no key without organisations", func() {
		_, found := NewConfig(1, Limits{}, nil, nil, nil).Organisation("")
		Expect(found).To(BeTrue())
	})
})

var _ = Describe("a route", func() {
	It("divides requests by the weights of its split and never picks a share of 0", func() {
		route := Route{Split: []Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}, {Service: "none", Weight: 0}}}
		counts := map[string]int{}
		for i := range 1000 {
			counts[route.Service(float64(i)/1000)]++
		}
		Expect(counts).To(Equal(map[string]int{"old": 900, "new": 100}))
	})

	DescribeTable("may be repeated by its kind only, so that an order never runs twice",
		func(route Route, repeatable bool) { Expect(route.Repeatable()).To(Equal(repeatable)) },
		Entry("idempotent", Route{Kind: Idempotent}, true),
		Entry("non-idempotent", Route{Kind: NonIdempotent, Resumable: true}, false),
		Entry("a stream", Route{Kind: Streaming}, false),
		Entry("a stream that may be resumed", Route{Kind: Streaming, Resumable: true}, true),
		Entry("an unknown kind", Route{}, false),
	)
})

var _ = Describe("registrations", func() {
	It("count the newest start of an address only, since the former id answers nothing", func() {
		old := &Server{ID: "old", Address: "10.0.0.1:1", StartedAt: time.Second}
		restarted := &Server{ID: "new", Address: "10.0.0.1:1", StartedAt: 2 * time.Second}
		other := &Server{ID: "other", Address: "10.0.0.2:1"}
		newest := Servers{"old": old, "new": restarted, "other": other}.Newest()
		Expect(newest).To(Equal(Servers{"new": restarted, "other": other}))
	})
})
