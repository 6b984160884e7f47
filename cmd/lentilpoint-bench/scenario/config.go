package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/task"
)

// The baselines of the configuration.
const (
	// BaselinePollOnly makes each host read the head row every 500 ms.
	BaselinePollOnly = "poll-only"
	// BaselineAcceptAny puts in force whichever revision arrives last.
	BaselineAcceptAny = "accept-any"
	// BaselineNoPush disables pushes between hosts, so that hosts other than the
	// readers depend on their fallback poll.
	BaselineNoPush = "no-push"
	// BaselineBlindWrite commits revisions without conditions.
	BaselineBlindWrite = "blind-write"
	// BaselineNoPeers makes hosts load the configuration only from the platform.
	BaselineNoPeers = "no-peers"
)

// The violations of the configuration experiments.
const (
	violationReverted        = "reverted_revisions"
	violationLate            = "late_revisions"
	violationWinners         = "revisions_with_several_winners"
	violationHistory         = "histories_not_linearizable"
	violationNoConfiguration = "hosts_without_configuration"
)

// configBound is the longest time until an accepted revision is in force on
// each reachable entry host.
const configBound = 2 * time.Second

// configIntervals are the daemon's defaults.
var configIntervals = config.Intervals{Reader: 500 * time.Millisecond, Fallback: 5 * time.Second}

var configScenarios = []Scenario{
	{
		Name: "config-churn", Description: "revisions are committed while entry hosts restart and the platform is down at times",
		Baselines: []string{BaselinePollOnly, BaselineAcceptAny, BaselineNoPush}, Run: runConfigChurn,
	},
	{
		Name: "operators-race", Description: "operators commit conflicting revisions at once and lose answers",
		Baselines: []string{BaselineBlindWrite}, Run: runOperatorsRace,
	},
	{
		Name: "cold-start-in-outage", Description: "entry hosts start while the platform is down or silent",
		Baselines: []string{BaselineNoPeers}, Run: runColdStart,
	},
	{
		Name: "config-partition", Description: "revisions are committed while a data centre is cut off from the platform",
		Baselines: []string{BaselinePollOnly}, Run: runConfigPartition,
	},
}

// observation records that a host put a revision in force.
type observation struct {
	host        int
	incarnation int
	revision    model.Revision
	at          time.Time
}

// configHost is one incarnation of the configuration store of an entry host.
type configHost struct {
	number      int
	incarnation int
	store       *config.Store
	started     time.Time
	stop        context.CancelFunc
}

// configCluster runs configuration stores against a stand-in platform. The stores
// call each other through a standin.PeerNetwork.
type configCluster struct {
	ctx          context.Context
	policy       string
	seed         uint64
	platform     *standin.Platform
	client       platform.Services
	network      *standin.PeerNetwork
	hostList     []model.Host
	hosts        []*configHost
	incarnations []configHost
	observations chan observation
	current      *model.Configuration
	// partitioned is the data centre that can't reach the platform; empty means
	// none.
	partitioned model.DataCentre
}

// maxObservations is the buffer size of the observations, which holds all of
// one run.
const maxObservations = 1 << 16

var configDataCentres = []model.DataCentre{"jkt", "bdg", "smg"}

func startConfigCluster(ctx context.Context, parameters Parameters, hosts int) (*configCluster, error) {
	platformStandin, err := standin.StartPlatform(ctx, parameters.Seed)
	if err != nil {
		return nil, err
	}
	s := &configCluster{
		ctx: ctx, policy: parameters.Policy, seed: parameters.Seed, platform: platformStandin,
		client:       usersplatform.NewServices(platformStandin.URL()),
		network:      standin.StartPeerNetwork(ctx, parameters.Seed),
		hosts:        make([]*configHost, hosts),
		observations: make(chan observation, maxObservations),
		current:      config.Empty(),
	}
	for i := range hosts {
		// Only hosts with a peer address can become readers.
		s.hostList = append(s.hostList, model.Host{
			ID: string(configHostID(i)), Role: model.RoleEntry, DataCentre: configDataCentre(i), PeerAddress: "exchange",
		})
	}
	return s, nil
}

func (s *configCluster) close() { s.client.Close() }

func configHostID(number int) model.HostID { return model.HostID(fmt.Sprintf("entry-%d", number)) }

func configDataCentre(number int) model.DataCentre {
	return configDataCentres[number%len(configDataCentres)]
}

// startHost starts a new incarnation of a host.
func (s *configCluster) startHost(number int) error {
	ctx, stop := context.WithCancel(s.ctx)
	host := &configHost{number: number, started: time.Now(), stop: stop, incarnation: len(s.incarnations)}
	mailbox := task.NewMailbox[peers.Message](256)
	inForce := task.NewMailbox[*model.Configuration](256)
	host.store = config.NewStore(s.parameters(host, mailbox, inForce))
	var receivers []peers.Receiver
	if s.policy != BaselineNoPush {
		receivers = append(receivers, config.NewPeer(host.store.Messages).Receiver())
	}
	member := peers.Member{ID: configHostID(number), DataCentre: configDataCentre(number)}
	if err := s.network.Join(ctx, member, mailbox, receivers...); err != nil {
		return err
	}
	if err := host.store.HostLists().TrySend(platform.HostsRead{Hosts: s.hostList}); err != nil {
		return err
	}
	go func() { _ = host.store.Serve(ctx) }()
	go s.recordRevisions(ctx, host, inForce)
	s.hosts[number] = host
	s.incarnations = append(s.incarnations, *host)
	return nil
}

func (s *configCluster) parameters(host *configHost, mailbox task.Mailbox[peers.Message], inForce task.Mailbox[*model.Configuration]) config.Parameters {
	parameters := config.Parameters{
		Messages: config.NewMailbox(),
		Self:     configHostID(host.number), Home: configDataCentre(host.number),
		Table: s.client, Objects: s.client.Objects, Peers: mailbox,
		PeersOn:   s.policy != BaselinePollOnly && s.policy != BaselineNoPeers,
		Intervals: configIntervals, Seed: s.seed + uint64(host.incarnation),
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Subscribers: []task.Mailbox[*model.Configuration]{inForce},
	}
	if s.partitioned == parameters.Home {
		parameters.Table = partitionedTable{}
	}
	if s.policy == BaselineAcceptAny {
		parameters.Acceptance = config.AcceptAny
	}
	return parameters
}

// recordRevisions records each revision that a host puts in force.
func (s *configCluster) recordRevisions(ctx context.Context, host *configHost, inForce task.Mailbox[*model.Configuration]) {
	for {
		select {
		case <-ctx.Done():
			return
		case configuration := <-inForce.C():
			s.observations <- observation{host: host.number, incarnation: host.incarnation, revision: configuration.Revision, at: time.Now()}
		}
	}
}

// commitRevision commits the next revision and sends it to the operator's entry
// host, which pushes it to its peers.
func (s *configCluster) commitRevision(ctx context.Context, operator int) error {
	revision := s.current.Revision + 1
	organisation := &model.Organisation{ID: model.OrganisationID(fmt.Sprintf("org-%d", revision)), Weight: 1, KeySHA256: []string{fmt.Sprintf("%064x", revision)}}
	committer := config.Committer{Table: s.client, Clock: clockwork.NewRealClock()}
	record, err := committer.Commit(ctx, s.current, config.Proposal{
		Expected: s.current.Revision, ID: fmt.Sprintf("%d-%d", s.seed, revision), Author: "operator",
		Changes: []config.Change{{PutOrganisation: organisation}},
	})
	if err != nil {
		return err
	}
	s.current, _ = config.Apply(s.current, record)
	if host := s.hosts[operator%len(s.hosts)]; s.policy != BaselinePollOnly && host != nil {
		_ = host.store.Messages.TrySend(config.Accepted{Records: []config.RevisionRecord{record}, PushToPeers: true})
	}
	return nil
}

// takeObservations removes and returns the observations so far. Those of one
// host are in order of time.
func (s *configCluster) takeObservations() []observation {
	observed := make([]observation, 0, len(s.observations))
	for range len(s.observations) {
		observed = append(observed, <-s.observations)
	}
	return observed
}

// countReverted counts the changes of a host to a lower revision within one
// incarnation. Whether a new incarnation reaches the revisions committed before
// it is checked as lateness.
func countReverted(observed []observation) check.Violations {
	violations := check.Violations{}
	newest := make(map[int]model.Revision)
	for _, o := range observed {
		if o.revision < newest[o.incarnation] {
			violations[violationReverted]++
		}
		newest[o.incarnation] = o.revision
	}
	return violations
}
