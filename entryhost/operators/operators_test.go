package operators_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/events"
	"github.com/lentilpoint/lentilpoint/entryhost/operators"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

func TestOperators(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operators")
}

// host is an operator API and the journal that it queries.
type host struct {
	server  *operators.Server
	journal *events.Journal
}

// startHost starts a host that other hosts reach through the exchange. Without an
// net/rpc receiver it behaves like a host of a version that has no such receiver.
func startHost(ctx context.Context, stand *standin.Platform, exchange *standin.PeerNetwork, id model.HostID, withoutReceiver bool) host {
	GinkgoHelper()
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	clock := clockwork.NewRealClock()
	client := usersplatform.NewServices(stand.URL())
	DeferCleanup(client.Close)
	links := task.NewMailbox[peers.Message](256)
	store := config.NewStore(config.Parameters{
		Messages: config.NewMailbox(),
		Self:     id, Home: "jkt", Table: client, Objects: client.Objects, Peers: links, PeersOn: true,
		Intervals: config.Intervals{Reader: time.Hour}, Clock: clock, Metrics: metrics.NewSet(), Logger: logger,
	})
	journal := events.NewJournal(id, client.Objects, clock, metrics.NewSet(), logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := operators.NewServer(listener, operators.Parameters{
		Self: id, Home: "jkt", Tokens: []string{"maria=m-token", "plain=="}, Config: store.Messages, Commits: config.Committer{Table: client, Clock: clock},
		Events: journal.Messages(), Recorder: journal, Objects: client.Objects, Peers: links, PeersOn: true, Clock: clock, Metrics: metrics.NewSet(), Logger: logger,
	})
	var receivers []peers.Receiver
	if !withoutReceiver {
		receivers = append(receivers, operators.NewPeer(journal.Messages()).Receiver())
	}
	Expect(exchange.Join(ctx, peers.Member{ID: id, DataCentre: "jkt"}, links, receivers...)).To(Succeed())
	for _, serve := range []func(context.Context) error{store.Serve, journal.Serve, server.Serve} {
		go func() { _ = serve(ctx) }()
	}
	return host{server: server, journal: journal}
}

func (h host) call(method, path, token string, body, answer any) int {
	GinkgoHelper()
	content, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(method, "http://"+h.server.Address()+path, bytes.NewReader(content))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	Expect(json.NewDecoder(response.Body).Decode(answer)).To(Succeed())
	return response.StatusCode
}

func commitOf(expected model.Revision, id string) operators.CommitBody {
	return operators.CommitBody{Expected: expected, ID: id, Changes: []config.Change{{PutService: &model.Service{
		Name: "advisor", Kind: model.ServiceEngine, DefaultDeadline: time.Minute,
		Shares: []model.VersionShare{{Version: "v1", Share: model.FullShare}},
	}}}}
}

var _ = Describe("the operator API", Ordered, func() {
	var first, second host
	var objects platform.Objects
	var exchange *standin.PeerNetwork

	BeforeAll(func() {
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		stand, err := standin.StartPlatform(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		client := usersplatform.NewServices(stand.URL())
		DeferCleanup(client.Close)
		objects = client.Objects
		exchange = standin.StartPeerNetwork(ctx, 1)
		first = startHost(ctx, stand, exchange, "entry-1", false)
		second = startHost(ctx, stand, exchange, "entry-2", false)
		startHost(ctx, stand, exchange, "entry-3", true)
	})

	It("returns the winner's author and change to the loser of a commit conflict, applies the winner on its host, and accepts a repeated commit", func() {
		var answer operators.CommitAnswer
		Expect(first.call(http.MethodPost, operators.PathCommit, "m-token", commitOf(0, "a"), &answer)).To(Equal(http.StatusOK))
		var refused operators.ErrorBody
		Expect(second.call(http.MethodPost, operators.PathCommit, "plain==", commitOf(0, "b"), &refused)).To(Equal(http.StatusConflict))
		Expect(refused.Error.Winner.Author).To(Equal("maria"))
		Expect(refused.Error.Message).To(ContainSubstring("put service advisor"))
		var known operators.ConfigurationBody
		Eventually(func() model.Revision {
			second.call(http.MethodGet, operators.PathConfiguration, "plain==", nil, &known)
			return known.Revision
		}).Should(Equal(model.Revision(1)), "the refused host applies the winning revision")
		Expect(first.call(http.MethodPost, operators.PathCommit, "m-token", commitOf(0, "a"), &answer)).To(Equal(http.StatusOK), "a retry after a lost answer")
		Expect(answer.Revision).To(Equal(model.Revision(1)))
	})

	It("refuses moves and misspelt fields in a plain commit", func() {
		var refused operators.ErrorBody
		body := operators.CommitBody{Expected: 1, ID: "c", Changes: []config.Change{{PutMove: &model.Move{ID: "m"}}}}
		Expect(first.call(http.MethodPost, operators.PathCommit, "m-token", body, &refused)).To(Equal(http.StatusBadRequest))
		Expect(first.call(http.MethodPost, operators.PathCommit, "m-token", map[string]any{"expectd": 1}, &refused)).To(Equal(http.StatusBadRequest))
		Expect(refused.Error.Message).To(ContainSubstring("expectd"))
		Expect(first.call(http.MethodGet, operators.PathStatus, "wrong", nil, &refused)).To(Equal(http.StatusUnauthorized))
	})

	It("merges the events of all hosts and lists the hosts that did not answer", func() {
		second.journal.Record(events.Event{Request: "r1", Cause: "second"})
		first.journal.Record(events.Event{Request: "r1", Cause: "first", At: time.Now().Add(-time.Second)})
		first.journal.Record(events.Event{Request: "r2"})
		var answer operators.EventsAnswer
		Expect(first.call(http.MethodGet, operators.PathEvents+"?request=r1", "m-token", nil, &answer)).To(Equal(http.StatusOK))
		Expect(answer.Events).To(HaveLen(2))
		Expect(answer.Events[0].Cause).To(Equal("first"))
		Expect(answer.Events[1].Host).To(Equal(model.HostID("entry-2")))
		Expect(answer.Unanswered).To(ConsistOf(model.HostID("entry-3")))
	})

	It("answers within 1 s, the limit for an explanation, if peers do not respond, and lists them", func() {
		exchange.SetDelay(time.Hour)
		DeferCleanup(exchange.SetDelay, time.Duration(0))
		first.journal.Record(events.Event{Request: "r5"})
		begin := time.Now()
		var answer operators.EventsAnswer
		Expect(first.call(http.MethodGet, operators.PathEvents+"?request=r5", "m-token", nil, &answer)).To(Equal(http.StatusOK))
		Expect(time.Since(begin)).To(BeNumerically("<", time.Second))
		Expect(answer.Events).To(HaveLen(1))
		Expect(answer.Unanswered).To(HaveLen(2))
	})

	It("returns the archived events of a host that died, without duplicates", func() {
		at := time.Now().UTC().Add(-10 * time.Second).Truncate(time.Millisecond)
		first.journal.Record(events.Event{Request: "r9", Cause: "alive", At: at})
		name := at.Format("20060102T150405")
		line := func(cause string, host string) string {
			return `{"at":"` + at.Format(time.RFC3339Nano) + `","host":"` + host + `","code":0,"request":"r9","cause":"` + cause + "\"}\n"
		}
		Expect(objects.Put(context.Background(), events.ObjectPrefix+name+"/dead-1", []byte(line("dead", "entry-7")+"not json\n"+line("alive", "entry-1")))).To(Succeed())
		var answer operators.EventsAnswer
		path := operators.PathEvents + "?request=r9&since=" + at.Add(-time.Minute).Format(time.RFC3339)
		first.call(http.MethodGet, path, "m-token", nil, &answer)
		Expect(answer.Events).To(HaveLen(1))
		first.call(http.MethodGet, path+"&archive=true", "m-token", nil, &answer)
		Expect(answer.Events).To(HaveLen(2))
		Expect(answer.Events).To(ContainElement(HaveField("Host", model.HostID("entry-7"))))
		Expect(answer.ArchiveIncomplete).To(BeFalse())
	})

	It("shows the revisions that other hosts report", func() {
		Expect(first.server.Subscriber().Mailbox.TrySend(peers.Fact{Kind: peers.FactRevision, Origin: "entry-2", Value: []byte("17")})).To(Succeed())
		var answer operators.StatusAnswer
		Eventually(func() model.Revision {
			first.call(http.MethodGet, operators.PathStatus, "m-token", nil, &answer)
			return answer.Hosts[1].Revision
		}).Should(Equal(model.Revision(17)))
	})

	It("withdraws a move that an operator cancels", func() {
		var answer operators.CommitAnswer
		start := operators.StartMoveBody{ID: "m1", Service: "advisor", To: "v2", Deadline: time.Now().Add(time.Hour)}
		Expect(first.call(http.MethodPost, operators.PathMoves, "m-token", start, &answer)).To(Equal(http.StatusOK))
		Expect(first.call(http.MethodDelete, operators.PathMoves+"/m1", "m-token", nil, &answer)).To(Equal(http.StatusOK))
		var move model.Move
		Expect(first.call(http.MethodGet, operators.PathMoves+"/m1", "m-token", nil, &move)).To(Equal(http.StatusOK))
		Expect(move.State).To(Equal(model.MoveWithdrawn))
	})
})
