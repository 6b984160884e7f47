package suspects

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const engines = "engines"

// prompt returns a prompt with the shared parts and a last one of its own.
func prompt(own string, shared ...string) Prompt {
	return NewPrompt(engines, NewFingerprint(own), append(shared, own))
}

// deathUnder is a report that a server died under a request of its own content after it
// had it for a time.
func deathUnder(server, own string, ran time.Duration, shared ...string) PromptDeath {
	dead := prompt(own, shared...)
	return PromptDeath{Service: engines, Server: server, Content: dead.Content, Parts: dead.suspects(), Ran: ran}
}

func signature(ids ...string) Signature {
	var parts Signature
	for _, id := range ids {
		parts = append(parts, NewPart(engines, id))
	}
	return parts
}

func signaturesOf(found []suspicion) []Signature {
	var signatures []Signature
	for _, suspected := range found {
		signatures = append(signatures, suspected.signature)
	}
	return signatures
}

var _ = Describe("suspected signatures", func() {
	const ran = time.Second
	var log deathLog
	var answered *answeredParts

	BeforeEach(func() { log, answered = deathLog{}, newAnsweredParts() })

	suspected := func(now time.Duration) []Signature {
		return signaturesOf(log.suspicions(engines, answered, now))
	}
	answer := func(at time.Duration, ids ...string) {
		for _, id := range ids {
			answered.add(NewPart(engines, id), at, at)
		}
	}

	It("hold a part under which three servers died, also if no two of its requests are alike", func() {
		for i := range 3 {
			Expect(suspected(time.Minute)).To(BeEmpty())
			at := time.Duration(i+1) * time.Second
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "dead"), at)
		}
		Expect(suspected(3 * time.Second)).To(Equal([]Signature{signature("dead")}))
		Expect(suspected(3*time.Second+deathWindow)).To(BeEmpty(), "deaths count for a limited time")
	})

	It("hold the content of a single request that crashes servers and none of its parts, which need not be the reason", func() {
		for i := range 5 {
			log.add(deathUnder(fmt.Sprint("s", i), "own", ran, "sound"), time.Duration(i)*2*time.Second)
			if i < 2 {
				Expect(suspected(4 * time.Second)).To(BeEmpty())
			}
		}
		Expect(suspected(10 * time.Second)).To(Equal([]Signature{{prompt("own", "sound").Content}}))
	})

	It("do not hold the content of a request that three failures of many servers met", func() {
		for round := range 3 {
			for i := range 5 {
				at := time.Duration(round+1) * 5 * time.Second
				log.add(deathUnder(fmt.Sprint(round, i), fmt.Sprint("own", i), ran), at)
			}
		}
		Expect(suspected(15 * time.Second)).To(BeEmpty())
	})

	It("are none when a data centre fails and many servers die at once under requests with a part", func() {
		for i := range 12 {
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "rare"), time.Second+time.Duration(i)*20*time.Millisecond)
		}
		Expect(suspected(2 * time.Second)).To(BeEmpty())
	})

	It("are none when many servers die at once again and again, each under requests with other parts", func() {
		for round := range 10 {
			for i := range 5 {
				at := time.Duration(round)*3*time.Second + time.Duration(i)*10*time.Millisecond
				id := fmt.Sprint(round, "-", i)
				log.add(deathUnder(id, id, ran, fmt.Sprint("rare", (round+i)%4*3+i%3)), at)
			}
		}
		Expect(suspected(30 * time.Second)).To(BeEmpty())
	})

	It("hold a part under which servers die while others fail together now and then", func() {
		for i := range 3 {
			at := time.Duration(i+1) * 4 * time.Second
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "dead"), at)
			for j := range 5 {
				id := fmt.Sprint(i, "-", j)
				log.add(deathUnder(id, id, ran), at+time.Second)
			}
		}
		Expect(suspected(14 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("count deaths that follow each other fast if the later attempt began after the earlier death", func() {
		for i := range 3 {
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i%2), 20*time.Millisecond, "dead"), time.Second+time.Duration(i)*30*time.Millisecond)
		}
		Expect(suspected(2 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("count a server that has its id again after its restart each time it dies", func() {
		for i := range 3 {
			log.add(deathUnder("same", fmt.Sprint("own", i), ran, "dead"), time.Duration(i)*5*time.Second)
		}
		Expect(suspected(11 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("do not hold a part that all requests share and that was answered a short time ago", func() {
		answer(0, "first")
		for i := range 3 {
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "first", "dead"), time.Duration(i+1)*time.Second)
		}
		Expect(suspected(4 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("hold all common parts while nothing tells them apart, and fewer with evidence in either direction", func() {
		for i := range 3 {
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "first", "dead"), time.Duration(i+1)*time.Second)
		}
		Expect(suspected(4 * time.Second)).To(Equal([]Signature{signature("dead", "first")}))
		log.add(deathUnder("s3", "own3", ran, "other", "dead"), 5*time.Second)
		Expect(suspected(5*time.Second)).To(Equal([]Signature{signature("dead")}), "a death without a part narrows the signature")
		answer(6*time.Second, "dead")
		Expect(suspected(6*time.Second)).To(Equal([]Signature{signature("first")}), "an answer with a part narrows it")
		answer(7*time.Second, "first")
		Expect(suspected(7 * time.Second)).To(BeEmpty())
		Expect(suspected(30*time.Second)).To(BeEmpty(), "deaths before an answer never count again")
	})

	It("hold the parts that were never answered rather than one that was answered some time ago", func() {
		answer(0, "first")
		for i := range 3 {
			log.add(deathUnder(fmt.Sprint("s", i), fmt.Sprint("own", i), ran, "first", "dead"), 15*time.Second+time.Duration(i)*time.Second)
		}
		Expect(suspected(18 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("do not hold a part of requests that were on the same servers by chance", func() {
		for i := range 6 {
			at, server := time.Duration(i+1)*time.Second, fmt.Sprint("s", i)
			log.add(deathUnder(server, fmt.Sprint("own", i), ran, "dead"), at)
			if i%2 == 0 {
				log.add(deathUnder(server, fmt.Sprint("neighbour", i), ran, "sound"), at)
			}
		}
		Expect(suspected(7 * time.Second)).To(Equal([]Signature{signature("dead")}))
	})

	It("are two for two parts that crash servers", func() {
		for i := range 4 {
			log.add(deathUnder(fmt.Sprint("a", i), fmt.Sprint("x", i), ran, "dead1"), time.Duration(2*i+1)*time.Second)
			log.add(deathUnder(fmt.Sprint("b", i), fmt.Sprint("y", i), ran, "dead2"), time.Duration(2*i+2)*time.Second)
		}
		Expect(suspected(10 * time.Second)).To(ConsistOf(signature("dead1"), signature("dead2")))
	})

	It("hold only the part that crashes servers, in any traffic in which sound requests are answered", func() {
		rapid.Check(GinkgoT(), func(r *rapid.T) {
			log, answered := deathLog{}, newAnsweredParts()
			now := time.Duration(0)
			for i := range rapid.IntRange(10, 60).Draw(r, "steps") {
				now += time.Duration(rapid.IntRange(50, 2000).Draw(r, "gap")) * time.Millisecond
				subject := fmt.Sprint("subject", rapid.IntRange(0, 3).Draw(r, "subject"))
				answered.add(NewPart(engines, "first"), now, now)
				if rapid.Bool().Draw(r, "answered") {
					answered.add(NewPart(engines, subject), now, now)
					continue
				}
				server := fmt.Sprint("s", i)
				log.add(deathUnder(server, fmt.Sprint("own", i), ran, "first", "dead"), now)
				if rapid.IntRange(0, 3).Draw(r, "neighbour") == 0 {
					log.add(deathUnder(server, fmt.Sprint("neighbour", i), ran, "first", subject), now)
				}
				for _, found := range signaturesOf(log.suspicions(engines, answered, now)) {
					if !found.isWithin(signature("dead")) {
						r.Fatalf("suspected %v", found)
					}
				}
			}
		})
	})

	It("take a bounded space, whatever callers and hosts send", func() {
		var ids []string
		for i := range 10 * maxPromptParts {
			ids = append(ids, strings.Repeat("x", 1000)+fmt.Sprint(i))
		}
		long := NewPrompt(engines, NewFingerprint("long"), ids)
		Expect(long.Shared).To(HaveLen(maxPromptParts))
		Expect(len(long.Shared[0])).To(BeNumerically("<", 2*maxPartIDBytes))
		for i := range 10 * maxDeaths {
			for content := range 2 * maxRequestsPerDeath {
				report := PromptDeath{Service: engines, Server: fmt.Sprint(i), Content: prompt(fmt.Sprint(content)).Content, Parts: long.suspects()}
				log.add(report, time.Duration(i)*sameDeath)
			}
		}
		Expect(log[engines]).To(HaveLen(maxDeaths))
		Expect(log[engines][0].requests).To(HaveLen(maxRequestsPerDeath))
		for _, request := range log[engines][0].requests {
			Expect(request.parts).To(HaveLen(maxReportedParts))
		}
		for i := range 2 * maxServices {
			log.add(PromptDeath{Service: fmt.Sprint(i)}, 0)
		}
		Expect(log).To(HaveLen(maxServices))
		log.expire(time.Hour)
		Expect(log).To(BeEmpty())
		for i := range 5 * maxAnswered {
			answered.add(Part(fmt.Sprint(i)), 0, 0)
		}
		Expect(len(answered.current) + len(answered.previous)).To(BeNumerically("<=", 2*maxAnswered))
	})
})

var _ = Describe("the parts of a prompt", func() {
	It("share all but the last one, which belongs to the request", func() {
		got := prompt("c", "a", "b", "a")
		Expect(got.Shared).To(Equal([]Part(signature("a", "b"))))
		Expect(got.Last).To(Equal(NewPart(engines, "c")))
		Expect(prompt("a").Shared).To(BeEmpty())
		bare := NewPrompt(engines, NewFingerprint("x"), nil)
		Expect(bare.suspects()).To(Equal([]Part{bare.Content}), "a request without a prompt is known by its content")
		Expect(bare.all()).To(Equal([]Part{bare.Content}))
		Expect(bare.Content).NotTo(Equal(NewPrompt(engines, NewFingerprint("y"), nil).Content))
	})

	It("do not tell requests of different content apart, but their contents do", func() {
		Expect(prompt("c", "a").Content).NotTo(Equal(prompt("d", "a").Content))
		Expect(NewPrompt(engines, NewFingerprint("x"), []string{"a"}).Content).NotTo(Equal(NewPrompt(engines, NewFingerprint("y"), []string{"a"}).Content))
	})

	It("are other ones at another service, whose servers may bear them", func() {
		Expect(NewPart("one", "a")).NotTo(Equal(NewPart("two", "a")))
	})
})

var _ = Describe("the list of stops", func() {
	parts := []Part(signature("first", "dead", "other"))

	It("covers the requests that hold a whole signature", func() {
		list := stopList{}.add(signature("dead", "first"), time.Minute)
		_, stopped := list.find(parts, 0)
		Expect(stopped).To(BeTrue())
		_, stopped = list.find([]Part(signature("first", "other")), 0)
		Expect(stopped).To(BeFalse(), "a request without the deadly part is served")
		_, stopped = list.find(parts, time.Minute)
		Expect(stopped).To(BeFalse(), "a stop ends")
	})

	It("replaces a signature by a narrower one", func() {
		list := stopList{}.add(signature("dead", "first"), time.Minute).add(signature("dead"), time.Minute)
		Expect(list).To(HaveLen(1))
	})

	It("drops parts that were answered", func() {
		list, changed := stopList{}.add(signature("dead", "first"), time.Minute).clear([]Part(signature("first")))
		Expect(changed).To(HaveLen(1))
		Expect(list[0].signature).To(Equal(signature("dead")))
		list, _ = list.clear([]Part(signature("dead")))
		Expect(list).To(BeEmpty())
	})

	It("keeps an ended stop on probation, so that one more death renews it", func() {
		list := stopList{}.add(signature("dead"), time.Minute)
		_, found := list.onProbation(parts, 0)
		Expect(found).To(BeFalse())
		_, found = list.onProbation(parts, time.Minute)
		Expect(found).To(BeTrue())
		Expect(list.expire(time.Minute)).To(HaveLen(1))
		Expect(list.expire(time.Minute + stopDuration)).To(BeEmpty())
	})

	It("does not grow without bound", func() {
		var list stopList
		for i := range 2 * maxStops {
			list = list.add(signature(fmt.Sprint(i)), time.Minute)
		}
		Expect(list).To(HaveLen(maxStops))
	})
})
