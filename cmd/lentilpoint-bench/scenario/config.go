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
	// BaselineAcceptAny puts in force whatever arrives last.
	BaselineAcceptAny = "accept-any"
	// BaselineNoPush leaves hosts that are no readers to their fallback poll.
	BaselineNoPush = "no-push"
	// BaselineBlindWrite commits without conditions.
	BaselineBlindWrite = "blind-write"
	// BaselineNoPeers starts from the platform only.
	BaselineNoPeers = "no-peers"
)

// Violations of the rules on configuration.
const (
	violationReverted = "reverted_revisions"
	violationLate     = "late_revisions"
	violationWinners  = "revisions_with_several_winners"
	violationHistory  = "histories_not_linearizable"
	violationNotBegun = "hosts_without_configuration"
)

// configBound is the longest time until an accepted revision is in force on
// each reachable entry host.
const configBound = 2 * time.Second

// configIntervals are the daemon's defaults.
var configIntervals = config.Intervals{Reader: 500 * time.Millisecond, Fallback: 5 * time.Second}

var configScenarios = []Scenario{
	{
		Name: "config-churn", About: "revisions are committed while entry hosts restart and the platform is down at times",
		Baselines: []string{BaselinePollOnly, BaselineAcceptAny, BaselineNoPush}, Run: runConfigChurn,
	},
	{
		Name: "operators-race", About: "operators commit conflicting revisions at once and lose answers",
		Baselines: []string{BaselineBlindWrite}, Run: runOperatorsRace,
	},
	{
		Name: "cold-start-in-outage", About: "entry hosts start while the platform is down or silent",
		Baselines: []string{BaselineNoPeers}, Run: runColdStart,
	},
	{
		Name: "config-partition", About: "revisions are committed while a data centre is cut off from the platform",
		Baselines: []string{BaselinePollOnly}, Run: runConfigPartition,
	},
}

// observation is one revision that a host put in force.
type observation struct {
	host     int
	life     int
	revision model.Revision
	at       time.Time
}

// configHost is one life of the configuration store of an entry host.
type configHost struct {
	number  int
	life    int
	store   *config.Store
	started time.Time
	stop    context.CancelFunc
}

// configSite runs configuration stores against a stand-in platform, linked by
// an exchange in place of the peers' network.
type configSite struct {
	ctx      context.Context
	policy   string
	seed     uint64
	platform *standin.Platform
	client   platform.Services
	exchange *standin.PeerNetwork
	list     []model.Host
	hosts    []*configHost
	lives    []configHost
	observed chan observation
	current  *model.Configuration
	// cut is a data centre that does not reach the platform; empty means none.
	cut model.DataCentre
}

// observedSize holds all observations of one run.
const observedSize = 1 << 16

var configDataCentres = []model.DataCentre{"jkt", "bdg", "smg"}

func startConfigSite(ctx context.Context, parameters Parameters, hosts int) (*configSite, error) {
	stand, err := standin.StartPlatform(ctx, parameters.Seed)
	if err != nil {
		return nil, err
	}
	s := &configSite{
		ctx: ctx, policy: parameters.Policy, seed: parameters.Seed, platform: stand,
		client:   usersplatform.NewServices(stand.URL()),
		exchange: standin.StartPeerNetwork(ctx, parameters.Seed),
		hosts:    make([]*configHost, hosts),
		observed: make(chan observation, observedSize),
		current:  config.Empty(),
	}
	for i := range hosts {
		s.list = append(s.list, model.Host{
			ID: string(configHostID(i)), Role: model.RoleEntry, DataCentre: configDataCentre(i), PeerAddress: "exchange",
		})
	}
	return s, nil
}

func (s *configSite) close() { s.client.Close() }

func configHostID(number int) model.HostID { return model.HostID(fmt.Sprintf("entry-%d", number)) }

func configDataCentre(number int) model.DataCentre {
	return configDataCentres[number%len(configDataCentres)]
}

// start starts a new life of a host.
func (s *configSite) start(number int) error {
	ctx, stop := context.WithCancel(s.ctx)
	host := &configHost{number: number, started: time.Now(), stop: stop, life: len(s.lives)}
	mailbox := task.NewMailbox[peers.Message](256)
	inForce := task.NewMailbox[*model.Configuration](256)
	host.store = config.NewStore(s.parameters(host, mailbox, inForce))
	var receivers []peers.Receiver
	if s.policy != BaselineNoPush {
		receivers = append(receivers, config.NewPeer(host.store.Messages).Receiver())
	}
	member := peers.Member{ID: configHostID(number), DataCentre: configDataCentre(number)}
	if err := s.exchange.Join(ctx, member, mailbox, receivers...); err != nil {
		return err
	}
	if err := host.store.HostLists().TrySend(platform.HostsRead{Hosts: s.list}); err != nil {
		return err
	}
	go func() { _ = host.store.Serve(ctx) }()
	go s.record(ctx, host, inForce)
	s.hosts[number] = host
	s.lives = append(s.lives, *host)
	return nil
}

func (s *configSite) parameters(host *configHost, mailbox task.Mailbox[peers.Message], inForce task.Mailbox[*model.Configuration]) config.Parameters {
	parameters := config.Parameters{
		Messages: config.NewMailbox(),
		Self:     configHostID(host.number), Home: configDataCentre(host.number),
		Table: s.client, Objects: s.client.Objects, Peers: mailbox,
		PeersOn:   s.policy != BaselinePollOnly && s.policy != BaselineNoPeers,
		Intervals: configIntervals, Seed: s.seed + uint64(host.life),
		Clock: clockwork.NewRealClock(), Metrics: metrics.NewSet(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Subscribers: []task.Mailbox[*model.Configuration]{inForce},
	}
	if s.cut == parameters.Home {
		parameters.Table = cutTable{}
	}
	if s.policy == BaselineAcceptAny {
		parameters.Acceptance = config.AcceptAny
	}
	return parameters
}

// record writes down each revision that comes into force on a host.
func (s *configSite) record(ctx context.Context, host *configHost, inForce task.Mailbox[*model.Configuration]) {
	for {
		select {
		case <-ctx.Done():
			return
		case configuration := <-inForce.C():
			s.observed <- observation{host: host.number, life: host.life, revision: configuration.Revision, at: time.Now()}
		}
	}
}

// commit commits the next revision and hands it to the host of the operator.
func (s *configSite) commit(ctx context.Context, operator int) error {
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

// take returns the observations so far, in order of time for each host.
func (s *configSite) take() []observation {
	observed := make([]observation, 0, len(s.observed))
	for range len(s.observed) {
		observed = append(observed, <-s.observed)
	}
	return observed
}

// reverted counts the steps of a host to a lower revision within one life. That
// a new life has what was in force before is the rule on late revisions.
func reverted(observed []observation) check.Violations {
	violations := check.Violations{}
	newest := make(map[int]model.Revision)
	for _, o := range observed {
		if o.revision < newest[o.life] {
			violations[violationReverted]++
		}
		newest[o.life] = o.revision
	}
	return violations
}
