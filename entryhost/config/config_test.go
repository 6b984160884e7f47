package config_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

func digest(n int) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(n)))) }

func organisation(n int) *model.Organisation {
	return &model.Organisation{ID: model.OrganisationID(fmt.Sprintf("org-%d", n)), Weight: 1, KeySHA256: []string{digest(n + 1)}}
}

func record(revision int) config.RevisionRecord {
	return config.RevisionRecord{
		Revision: model.Revision(revision), ID: fmt.Sprint("id-", revision), Author: "maria",
		Changes: []config.Change{{PutOrganisation: organisation(revision)}},
	}
}

var _ = Describe("accepting revisions", func() {
	It("never lowers the revision, and equals applying all revisions in order, whatever updates arrive", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const last = 30
			all := make([]config.RevisionRecord, last)
			for i := range all {
				all[i] = record(i + 1)
				if i%3 == 2 {
					all[i].Changes = []config.Change{{DeleteOrganisation: organisation(i).ID}}
				}
			}
			current := config.Empty()
			for range rapid.IntRange(1, 40).Draw(t, "updates") {
				from := rapid.IntRange(0, last-1).Draw(t, "from")
				to := rapid.IntRange(from, last).Draw(t, "to")
				next, applied := config.AcceptInOrder.Accept(current, config.Update{Records: all[from:to]})
				if next.Revision < current.Revision || len(applied) != int(next.Revision-current.Revision) {
					t.Fatalf("revision %d after %d with %d applied", next.Revision, current.Revision, len(applied))
				}
				current = next
			}
			expected, _ := config.ApplyAll(config.Empty(), all[:current.Revision])
			if fmt.Sprint(expected.Organisations) != fmt.Sprint(current.Organisations) {
				t.Fatalf("%v differs from %v", current.Organisations, expected.Organisations)
			}
			for n := range last {
				_, indexed := current.OrganisationByKey(digest(n + 1))
				if _, exists := current.Organisations[organisation(n).ID]; exists != indexed {
					t.Fatalf("key of organisation %d: indexed %t, exists %t", n, indexed, exists)
				}
			}
		})
	})
})

var _ = Describe("readers", func() {
	It("are two for each data centre, and the departure of a host changes at most one of them", func() {
		var hosts []model.Host
		for i := range 22 {
			hosts = append(hosts, model.Host{ID: fmt.Sprint("entry-", i), Role: model.RoleEntry, DataCentre: "jkt", PeerAddress: "10.0.0.1:1"})
		}
		before := config.Readers("jkt", hosts)
		Expect(before).To(HaveLen(config.ReadersPerDataCentre))
		for i := range hosts {
			changed := append([]model.Host(nil), hosts...)
			changed[i].Leaving = true
			after := config.Readers("jkt", changed)
			Expect(after).NotTo(ContainElement(model.HostID(hosts[i].ID)))
			Expect(after).To(ContainElement(BeElementOf(before)))
		}
		Expect(config.ReaderRank("unlisted", "jkt", hosts)).To(Equal(0))
	})
})

// site is a stand-in platform and an exchange that links the stores of a test.
type site struct {
	ctx             context.Context
	standinPlatform *standin.Platform
	client          platform.Services
	table           platform.Table
	exchange        *standin.PeerNetwork
}

// scanTable sends the first key of each scan to a channel.
type scanTable struct {
	platform.Table
	scans chan<- string
}

// Scan implements platform.Table.
func (t scanTable) Scan(ctx context.Context, prefix, from string, limit int) ([]platform.Row, error) {
	t.scans <- from
	return t.Table.Scan(ctx, prefix, from, limit)
}

func newSite() *site {
	GinkgoHelper()
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	standinPlatform, err := standin.StartPlatform(ctx, 1)
	Expect(err).NotTo(HaveOccurred())
	client := usersplatform.NewServices(standinPlatform.URL())
	DeferCleanup(client.Close)
	return &site{ctx: ctx, standinPlatform: standinPlatform, client: client, table: client, exchange: standin.StartPeerNetwork(ctx, 1)}
}

// startStore runs a store. With a reader interval of an hour, only the first read
// and pushes update it.
func (s *site) startStore(id string, interval time.Duration) *config.Store {
	GinkgoHelper()
	store := s.newStore(id, interval)
	go func() { _ = store.Serve(s.ctx) }()
	return store
}

// newStore returns a store that is linked to the exchange but not running.
func (s *site) newStore(id string, interval time.Duration) *config.Store {
	GinkgoHelper()
	mailbox := task.NewMailbox[peers.Message](64)
	store := config.NewStore(config.Parameters{
		Messages: config.NewMailbox(),
		Self:     model.HostID(id), Home: "jkt", Table: s.table, Objects: s.client.Objects,
		Peers: mailbox, PeersOn: true, Intervals: config.Intervals{Reader: interval},
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	Expect(s.exchange.Join(s.ctx, peers.Member{ID: model.HostID(id), DataCentre: "jkt"}, mailbox, config.NewPeer(store.Messages).Receiver())).To(Succeed())
	return store
}

func (s *site) commit(revision int) (config.RevisionRecord, error) {
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	r := record(revision)
	return config.Committer{Table: s.client, Clock: clockwork.NewRealClock()}.Commit(ctx, config.Empty(), config.Proposal{
		Expected: r.Revision - 1, ID: r.ID, Author: r.Author, Changes: r.Changes,
	})
}

// nonReaderList returns a host list in which the host is not a reader.
func nonReaderList(id string) []model.Host {
	hosts := []model.Host{{ID: id, Role: model.RoleEntry, DataCentre: "jkt", PeerAddress: "x"}}
	for config.ReaderRank(model.HostID(id), "jkt", hosts) != config.NotReader {
		hosts = append(hosts, model.Host{ID: fmt.Sprint("more-", len(hosts)), Role: model.RoleEntry, DataCentre: "jkt", PeerAddress: "x"})
	}
	return hosts
}

func revisionOf(store *config.Store) model.Revision {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	current, err := task.Call(ctx, store.Messages, func(reply task.Reply[*model.Configuration]) config.Message {
		return config.Current{Reply: reply}
	})
	if err != nil {
		return 0
	}
	return current.Revision
}

var _ = Describe("a commit", func() {
	It("returns the winner's author and change to the operator whose commit conflicts", func() {
		s := newSite()
		_, err := s.commit(1)
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Committer{Table: s.client, Clock: clockwork.NewRealClock()}.Commit(s.ctx, config.Empty(), config.Proposal{
			ID: "late", Author: "budi", Changes: record(7).Changes,
		})
		var conflict *config.Conflict
		Expect(err).To(BeAssignableToTypeOf(conflict))
		Expect(err).To(MatchError(ContainSubstring("committed first by maria: put organisation org-1")))
		Expect(model.AsFault(err).Kind).To(Equal(model.KindConflict))
	})

	It("commits nothing if a condition of the proposal fails, as when another host has taken the lease", func() {
		s := newSite()
		_, err := s.commit(1)
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Committer{Table: s.client, Clock: clockwork.NewRealClock()}.Commit(s.ctx, config.Empty(), config.Proposal{
			Expected: 1, ID: "old holder", Author: "control", Changes: record(2).Changes,
			Conditions: []platform.Condition{{Key: "control/holder/advisor", Version: 4}},
		})
		Expect(config.ErrConditionFailed.Has(err)).To(BeTrue())
		Expect(s.standinPlatform.Rows(config.PrefixRevision)).To(HaveLen(1))
	})

	It("takes effect exactly once when requests and answers get lost, and reports its outcome", func() {
		s := newSite()
		s.standinPlatform.SetFaults(standin.PlatformFaults{LoseAnswers: 0.5, LoseRequests: 0.2})
		for revision := 1; revision <= 10; revision++ {
			committed, err := s.commit(revision)
			Expect(err).NotTo(HaveOccurred())
			Expect(committed.Revision).To(Equal(model.Revision(revision)))
		}
		Expect(s.standinPlatform.Rows(config.PrefixRevision)).To(HaveLen(10))
		again, err := s.commit(3)
		Expect(err).NotTo(HaveOccurred(), "a repeated commit is the same commit")
		Expect(again.Revision).To(Equal(model.Revision(3)))
	})
})

var _ = Describe("the store", func() {
	It("starts from a peer while the platform is down", func() {
		s := newSite()
		for revision := 1; revision <= 3; revision++ {
			_, err := s.commit(revision)
			Expect(err).NotTo(HaveOccurred())
		}
		first := s.startStore("entry-0", 50*time.Millisecond)
		Eventually(func() model.Revision { return revisionOf(first) }, "2s").Should(Equal(model.Revision(3)))
		s.standinPlatform.SetFaults(standin.PlatformFaults{Down: true})
		second := s.startStore("entry-1", time.Hour)
		Eventually(func() model.Revision { return revisionOf(second) }, "2s").Should(Equal(model.Revision(3)))
	})

	It("reads the missing revisions when a push leaves a gap, and ignores an old push", func() {
		s := newSite()
		store := s.startStore("entry-0", time.Hour)
		for revision := 1; revision <= 5; revision++ {
			_, err := s.commit(revision)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(store.Messages.TrySend(config.Accepted{Records: []config.RevisionRecord{record(5)}})).To(Succeed())
		Eventually(func() model.Revision { return revisionOf(store) }, "2s").Should(Equal(model.Revision(5)))
		Expect(store.Messages.TrySend(config.Accepted{Records: []config.RevisionRecord{record(2)}})).To(Succeed())
		Consistently(func() model.Revision { return revisionOf(store) }, "100ms").Should(Equal(model.Revision(5)))
	})

	It("starts from the snapshot and reads only the revisions after it", func() {
		s := newSite()
		writer := s.startStore("entry-0", 20*time.Millisecond)
		const last = config.SnapshotEvery + 4
		commitUpTo := func(from, to int) {
			for revision := from; revision <= to; revision++ {
				_, err := s.commit(revision)
				Expect(err).NotTo(HaveOccurred())
			}
			Eventually(func() model.Revision { return revisionOf(writer) }, "5s").Should(Equal(model.Revision(to)))
		}
		// The snapshot must exist before the last revisions are committed. Otherwise
		// it may contain them, and no revision is left to read.
		commitUpTo(1, config.SnapshotEvery)
		Eventually(s.standinPlatform.Objects, "5s").Should(ContainElement(config.ObjectSnapshot))
		commitUpTo(config.SnapshotEvery+1, last)
		isolated := *s
		isolated.exchange = standin.StartPeerNetwork(s.ctx, 2)
		scans := make(chan string, 16)
		isolated.table = scanTable{Table: s.client, scans: scans}
		coldStore := isolated.startStore("entry-9", time.Hour)
		Eventually(func() model.Revision { return revisionOf(coldStore) }, "5s").Should(Equal(model.Revision(last)))
		var from string
		Eventually(scans, "5s").Should(Receive(&from))
		Expect(from > config.RevisionKey(config.SnapshotEvery)).To(BeTrue(), "revisions before the snapshot were read")
		Expect(scans).To(BeEmpty())
	})

	It("reads at its start, even if the host list arrives first and the host is not a reader", func() {
		s := newSite()
		_, err := s.commit(1)
		Expect(err).NotTo(HaveOccurred())
		hosts := nonReaderList("entry-0")
		for range 8 {
			isolated := *s
			isolated.exchange = standin.StartPeerNetwork(s.ctx, 1)
			store := isolated.newStore("entry-0", time.Hour)
			Expect(store.HostLists().TrySend(platform.HostsRead{Hosts: hosts})).To(Succeed())
			go func() { _ = store.Serve(s.ctx) }()
			Eventually(func() model.Revision { return revisionOf(store) }, "2s").Should(Equal(model.Revision(1)))
		}
	})

	It("leaks no goroutine when it is stopped during an outage", func() {
		s := newSite()
		leaks := goleak.IgnoreCurrent()
		ctx, cancel := context.WithCancel(s.ctx)
		isolated := *s
		isolated.ctx = ctx
		s.standinPlatform.SetFaults(standin.PlatformFaults{Delay: 300 * time.Millisecond})
		store := isolated.startStore("entry-0", 10*time.Millisecond)
		Expect(store.Messages.TrySend(config.Accepted{Records: []config.RevisionRecord{record(1)}, PushToPeers: true})).To(Succeed())
		Eventually(func() model.Revision { return revisionOf(store) }, "2s").Should(Equal(model.Revision(1)))
		cancel()
		s.client.Close()
		Eventually(func() error { return goleak.Find(leaks, goleak.IgnoreAnyFunction("net/http.(*conn).serve")) }, "5s").Should(Succeed())
	})

	It("reads as often as a reader until it has a configuration", func() {
		s := newSite()
		s.standinPlatform.SetFaults(standin.PlatformFaults{Down: true})
		store := s.newStore("entry-0", 100*time.Millisecond)
		Expect(store.HostLists().TrySend(platform.HostsRead{Hosts: nonReaderList("entry-0")})).To(Succeed())
		go func() { _ = store.Serve(s.ctx) }()
		Consistently(func() model.Revision { return revisionOf(store) }, "200ms").Should(BeZero())
		s.standinPlatform.SetFaults(standin.PlatformFaults{})
		_, err := s.commit(1)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() model.Revision { return revisionOf(store) }, "800ms").Should(Equal(model.Revision(1)), "the fallback interval is 1 s here")
	})

	It("reads soon after another host reports a newer revision, even if its readers push nothing", func() {
		s := newSite()
		store := s.startStore("entry-0", time.Hour)
		hosts := nonReaderList("entry-0")
		Expect(store.HostLists().TrySend(platform.HostsRead{Hosts: hosts})).To(Succeed())
		Eventually(func() int { return store.HostLists().Len() }).Should(BeZero())
		_, err := s.commit(1)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() model.Revision {
			// Frequent facts must not postpone the read.
			_ = store.Subscriber().Mailbox.TrySend(peers.Fact{Kind: peers.FactRevision, Origin: "far-1", Value: []byte("1")})
			return revisionOf(store)
		}, "2s").Should(Equal(model.Revision(1)))
	})

	It("does not apply a revision with a change that this version does not know", func() {
		unknown := record(2)
		unknown.Changes = append(unknown.Changes, config.Change{})
		current, applied := config.ApplyAll(config.Empty(), []config.RevisionRecord{record(1), unknown, record(3)})
		Expect(applied).To(Equal(1))
		Expect(current.Revision).To(Equal(model.Revision(1)))
	})

	It("keeps a bounded number of ended moves, the newest ones, and all running ones", func() {
		current := config.Empty()
		for n := range 60 {
			move := advisorMove(model.MoveDone)
			move.ID = model.MoveID(fmt.Sprint("m", n))
			move.Started = move.Started.Add(time.Duration(n) * time.Minute)
			if n == 0 {
				move.State = model.MoveRunning
			}
			current, _ = config.Apply(current, config.RevisionRecord{Revision: current.Revision + 1, Changes: []config.Change{{PutMove: move}}})
		}
		Expect(current.Moves).To(HaveLen(21))
		Expect(current.Moves).To(And(HaveKey(model.MoveID("m0")), HaveKey(model.MoveID("m59")), Not(HaveKey(model.MoveID("m1")))))
	})

	It("queries a peer of another data centre too, as its own may be cut off from the platform as a whole", func() {
		member := func(id string, home model.DataCentre) peers.Member {
			return peers.Member{ID: model.HostID(id), DataCentre: home, Alive: true}
		}
		members := []peers.Member{member("a", "jkt"), member("b", "jkt"), member("c", "jkt"), member("d", "jkt"), member("e", "bdg")}
		first := func(int) int { return 0 }
		Expect(config.ChoosePeers("jkt", members, 3, first)).To(And(HaveLen(3), ContainElement(model.HostID("e"))))
		Expect(config.ChoosePeers("jkt", members[:4], 3, first)).To(HaveLen(3))
		Expect(config.ChoosePeers("smg", members, 3, first)).To(HaveLen(3))
		Expect(config.ChoosePeers("jkt", nil, 3, first)).To(BeEmpty())
	})

	It("keeps the configuration and the key index through a snapshot", func() {
		current, _ := config.ApplyAll(config.Empty(), []config.RevisionRecord{record(1), record(2)})
		content, err := config.EncodeSnapshot(current)
		Expect(err).NotTo(HaveOccurred())
		decoded, err := config.DecodeSnapshot(content)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(current))
		_, err = config.DecodeSnapshot([]byte(strings.Repeat("x", 40)))
		Expect(err).To(HaveOccurred())
	})
})
