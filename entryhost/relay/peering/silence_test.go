package peering

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

// readChain returns the host that reads the store, and then the hosts that read from it
// or from each other in its place, in the order in which they come.
func (f *fleet) readChain(length int) []string {
	var chain []string
	excluded := map[string]time.Time{}
	for range length {
		last := ""
		for _, host := range f.hosts {
			peers := Peers{DataCentre: host.DataCentre, Self: host.Address, Hosts: func(context.Context) []routing.Host { return f.hosts }}
			if _, skip := excluded[host.Address]; !skip && peers.StoreReader(context.Background(), excluded) == "" {
				last = host.Address
			}
		}
		chain = append(chain, last)
		excluded[last] = time.Time{}
	}
	return chain
}

// behindBut returns the number of hosts without the version that are not among the given.
func (f *fleet) behindBut(version uint64, except map[string]bool) int {
	f.behind(version)
	behind := 0
	for address, latest := range f.latest {
		if latest < version && !except[address] {
			behind++
		}
	}
	return behind
}

// localReader returns the host that the others of the host's data centre read from.
func (f *fleet) localReader(dataCentre string) string {
	for _, host := range f.hosts {
		peers := Peers{DataCentre: dataCentre, Self: host.Address, Hosts: func(context.Context) []routing.Host {
			var local []routing.Host
			for _, other := range f.hosts {
				if other.DataCentre == dataCentre {
					local = append(local, other)
				}
			}
			return local
		}}
		if host.DataCentre == dataCentre && peers.StoreReader(context.Background(), nil) == "" {
			return host.Address
		}
	}
	return ""
}

// Guards against hosts that the store would serve and that wait for a host that gets no
// answer: a call that is open says nothing about its host, so that a change came up to 2.5 s
// late to all who read through it.
func TestAChangeReachesTheHostsThatReadThroughOneWithoutAnswers(t *testing.T) {
	for _, size := range []int{6, 80} {
		for _, test := range []struct {
			name   string
			silent func(f *fleet) []string
			frozen func(f *fleet) []string
		}{
			{name: "the store is silent to its reader", silent: func(f *fleet) []string { return f.readChain(1) }},
			{name: "the store is silent to its reader and the next one", silent: func(f *fleet) []string { return f.readChain(2) }},
			{name: "the store is silent to its reader and to the reader of a data centre", silent: func(f *fleet) []string { return append(f.readChain(1), f.localReader("dc-0")) }},
			{name: "the reader of the store is frozen", frozen: func(f *fleet) []string { return f.readChain(1) }},
			{name: "the readers of the store and of a data centre are frozen", frozen: func(f *fleet) []string { return append(f.readChain(1), f.localReader("dc-0")) }},
			{name: "the reader of the store is frozen and the store silent to the next one", silent: func(f *fleet) []string { return f.readChain(2)[1:] }, frozen: func(f *fleet) []string { return f.readChain(1) }},
		} {
			t.Run(fmt.Sprintf("%d hosts, %s", size, test.name), func(t *testing.T) {
				// The moment lies at each stage of the calls and queries in progress.
				for moment := time.Duration(0); moment < 2500*time.Millisecond; moment += 130 * time.Millisecond {
					behind := 0
					inFleetOf(t, size, false, slowFleetPace, func(_ gomega.Gomega, f *fleet) {
						time.Sleep(moment)
						except := map[string]bool{}
						if test.silent != nil {
							hosts := test.silent(f)
							f.store.silence(hosts...)
							for _, host := range hosts {
								except[host] = true
							}
						}
						if test.frozen != nil {
							for _, host := range test.frozen(f) {
								f.frozen.Store(host, true)
								except[host] = true
							}
						}
						version := f.store.change()
						time.Sleep(inForceBound)
						behind = f.behindBut(version, except)
					})
					if behind > 0 {
						t.Errorf("moment %v: %d hosts do not have the change", moment, behind)
					}
				}
			})
		}
	}
}

// Guards against a silent store that several of the hosts read in turn which would take over
// Guards against hosts that take over from each other in turn, each of which waits for a
// store that is silent to it too.
func TestAChangeReachesTheHostsThatTheStoreAnswersWhileItIsSilentToAThird(t *testing.T) {
	for _, size := range []int{6, 24, 80} {
		for seed := range uint64(20) {
			behind := 0
			inFleet(t, size, false, func(_ gomega.Gomega, f *fleet) {
				random := rand.New(rand.NewPCG(seed, 1))
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				silent, except := f.readChain(1), map[string]bool{}
				for _, i := range random.Perm(size)[:size/3-1] {
					silent = append(silent, f.hosts[i].Address)
				}
				for _, host := range silent {
					except[host] = true
				}
				f.store.silence(silent...)
				version := f.store.change()
				time.Sleep(inForceBound)
				behind = f.behindBut(version, except)
			})
			if behind > 0 {
				t.Errorf("%d hosts, seed %d: %d hosts do not have the change", size, seed, behind)
			}
		}
	}
}

// Guards against hosts that the store does not answer and that wait for it while others
// have the change.
func TestAChangeReachesTheHostThatTheStoreDoesNotAnswer(t *testing.T) {
	behind := 0
	inFleet(t, 6, false, func(_ gomega.Gomega, f *fleet) {
		f.store.silence(f.storeReader())
		for range 5 {
			version := f.store.change()
			time.Sleep(turnedAwayBound)
			behind += f.behind(version)
		}
	})
	gomega.NewWithT(t).Expect(behind).To(gomega.BeZero())
}

// Guards against a large change that is taken for a store that does not answer: all hosts
// would read it from the store at once, and each of them slower.
func TestAChangeThatTakesLongToTransferIsNoOutage(t *testing.T) {
	for moment := time.Duration(0); moment < 1200*time.Millisecond; moment += 90 * time.Millisecond {
		behind, calls := 0, 0
		inFleet(t, 80, false, func(_ gomega.Gomega, f *fleet) {
			time.Sleep(moment)
			f.store.mutex.Lock()
			f.store.transfer = 1200 * time.Millisecond
			f.store.mutex.Unlock()
			f.store.takeCalls()
			version := f.store.change()
			time.Sleep(inForceBound)
			behind, calls = f.behind(version), f.store.takeCalls()
		})
		// The reader of the store calls it twice, probes it once and begins the next call.
		if behind > 0 || calls > 4 {
			t.Errorf("moment %v: %d hosts do not have the change, %d calls", moment, behind, calls)
		}
	}
}
