// Package cluster runs the stand-ins and entry hosts of one experiment in one
// process, connected over loopback.
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"go.uber.org/fx"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/entryhost"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
	usersplatform "github.com/lentilpoint/lentilpoint/platform"
	"github.com/lentilpoint/lentilpoint/settings"
)

// Error is the class of errors of this package.
var Error = errs.Class("cluster")

// The services of a cluster and the versions that its servers start with.
const (
	ServiceAdvisor model.ServiceName = "advisor"
	ServiceOrders  model.ServiceName = "orders"
	VersionOne                       = "advisor-v1"
	ordersVersion                    = "orders-v1"
)

// readyTimeout bounds the wait until all entry hosts are ready.
const readyTimeout = 10 * time.Second

// Options describe a cluster.
type Options struct {
	Seed uint64
	// DataCentres get the hosts in rotation; empty means "jkt" and "bdg".
	DataCentres []model.DataCentre
	// EntryHosts, Engines and PlainServers are the numbers of entry hosts, engines
	// and servers of the orders service.
	EntryHosts   int
	Engines      int
	PlainServers int
	// Organisations lists names and weights; empty means "bubbles" and "wands"
	// with weight 1.
	Organisations []model.Organisation
	// Engine is the template of each engine; a zero TokenInterval means
	// DefaultEngine.
	Engine standin.EngineOptions
	// Service, if not nil, edits the advisor service before it is committed.
	Service func(*model.Service)
	// Settings, if not nil, edits the settings of each entry host.
	Settings func(*settings.Settings)
	// Changes are committed with the first revision, after the services and
	// organisations.
	Changes []config.Change
	// ExtraHosts are additional hosts of the host list, which the cluster does not
	// start.
	ExtraHosts []model.Host
	// HostOptions replace or decorate parts of each entry host.
	HostOptions []fx.Option
	// Logger receives the logs of the entry hosts; nil discards them.
	Logger *slog.Logger
}

// Cluster is a running cluster. Engines, PlainServers and Hosts are in the order
// of their ids; Metrics holds the metrics of each entry host, in the order of
// Hosts.
type Cluster struct {
	Platform     *standin.Platform
	Engines      []*standin.Engine
	PlainServers []*standin.Plain
	Hosts        []*entryhost.Host
	Metrics      []*metrics.Set

	options  Options
	hostList []model.Host
	cancel   context.CancelFunc
}

// DefaultEngine returns the options of an engine that decodes 200 tokens per
// second and generation and prefills 256 tokens per step.
func DefaultEngine() standin.EngineOptions {
	return standin.EngineOptions{
		Versions:      []string{VersionOne},
		TokenInterval: 5 * time.Millisecond,
		PrefillRate:   256,
		Capacity:      32,
		CacheBlocks:   4096,
		ResumeGrace:   5 * time.Second,
	}
}

// APIKey returns the API key of an organisation.
func APIKey(organisation model.OrganisationID) string { return "key-" + string(organisation) }

func withDefaults(options Options) Options {
	if len(options.DataCentres) == 0 {
		options.DataCentres = []model.DataCentre{"jkt", "bdg"}
	}
	if len(options.Organisations) == 0 {
		options.Organisations = []model.Organisation{{ID: "bubbles", Weight: 1}, {ID: "wands", Weight: 1}}
	}
	if options.Engine.TokenInterval == 0 {
		options.Engine = DefaultEngine()
	}
	if options.Logger == nil {
		options.Logger = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	return options
}

// Start starts a cluster and waits until every entry host is ready. The caller
// must stop it.
func Start(ctx context.Context, options Options) (*Cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &Cluster{options: withDefaults(options), cancel: cancel}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.Platform, err = standin.StartPlatform(ctx, c.options.Seed); err != nil {
		return err
	}
	if err := c.startServers(ctx); err != nil {
		return err
	}
	c.hostList = append(c.hostList, c.options.ExtraHosts...)
	c.Platform.SetHosts(c.hostList)
	if err := c.putConfiguration(ctx); err != nil {
		return err
	}
	for i := range c.options.EntryHosts {
		if err := c.startHost(i); err != nil {
			return err
		}
	}
	return c.WaitReady(ctx)
}

func (c *Cluster) startServers(ctx context.Context) error {
	for i := range c.options.Engines {
		options := c.options.Engine
		options.ID = fmt.Sprintf("engine-%d", i)
		options.Seed = c.options.Seed + uint64(i)
		engine, err := standin.StartEngine(ctx, options)
		if err != nil {
			return err
		}
		c.Engines = append(c.Engines, engine)
		c.hostList = append(c.hostList, c.backendHost(i, engine.ID(), engine.Address(), ServiceAdvisor))
	}
	for i := range c.options.PlainServers {
		plain, err := standin.StartPlain(ctx, fmt.Sprintf("plain-%d", i), ordersVersion)
		if err != nil {
			return err
		}
		c.PlainServers = append(c.PlainServers, plain)
		c.hostList = append(c.hostList, c.backendHost(i, plain.ID(), plain.Address(), ServiceOrders))
	}
	return nil
}

func (c *Cluster) dataCentre(i int) model.DataCentre {
	return c.options.DataCentres[i%len(c.options.DataCentres)]
}

func (c *Cluster) backendHost(i int, id, address string, service model.ServiceName) model.Host {
	return model.Host{
		ID: id, Role: model.RoleBackend, Service: service, DataCentre: c.dataCentre(i), Address: address, Incarnation: 1,
	}
}

// SetLeaving marks a backend server as leaving in the host list.
func (c *Cluster) SetLeaving(id string, leaving bool) {
	for i := range c.hostList {
		if c.hostList[i].ID == id {
			c.hostList[i].Leaving = leaving
		}
	}
	c.Platform.SetHosts(c.hostList)
}

func (c *Cluster) putConfiguration(ctx context.Context) error {
	advisor := model.Service{
		Name: ServiceAdvisor, Kind: model.ServiceEngine, DefaultDeadline: time.Minute,
		Shares: []model.VersionShare{{Version: VersionOne, Share: model.FullShare}},
	}
	if c.options.Service != nil {
		c.options.Service(&advisor)
	}
	orders := model.Service{
		Name: ServiceOrders, Kind: model.ServicePlain, DefaultDeadline: 10 * time.Second,
		RepeatableMethods: []string{http.MethodGet, http.MethodHead},
	}
	changes := []config.Change{{PutService: &advisor}, {PutService: &orders}}
	for _, organisation := range c.options.Organisations {
		digest := sha256.Sum256([]byte(APIKey(organisation.ID)))
		organisation.KeySHA256 = []string{hex.EncodeToString(digest[:])}
		changes = append(changes, config.Change{PutOrganisation: &organisation})
	}
	return c.Commit(ctx, 0, append(changes, c.options.Changes...))
}

// Commit commits the changes as the revision after the expected one, with the
// committer that the operator API uses.
func (c *Cluster) Commit(ctx context.Context, expected model.Revision, changes []config.Change) error {
	client := usersplatform.NewServices(c.Platform.URL())
	defer client.Close()
	committer := config.Committer{Table: client, Clock: clockwork.NewRealClock()}
	_, err := committer.Commit(ctx, config.Empty(), config.Proposal{
		Expected: expected, ID: fmt.Sprintf("bench-%d", expected+1), Author: "bench", Changes: changes,
	})
	return err
}

func (c *Cluster) startHost(i int) error {
	values := settings.Settings{
		HostID:         fmt.Sprintf("entry-%d", i),
		DataCentre:     string(c.dataCentre(i)),
		CallerAddress:  "127.0.0.1:0",
		PeerAddress:    "127.0.0.1:0",
		PeerSecret:     "bench",
		PlatformURL:    c.Platform.URL(),
		LogFormat:      "text",
		LogLevel:       "info",
		DrainTimeout:   20 * time.Second,
		ConfigInterval: 100 * time.Millisecond,
		HostsInterval:  100 * time.Millisecond,
		LoadInterval:   100 * time.Millisecond,
		RemoteServers:  64,
		RandomSeed:     c.options.Seed*1000 + uint64(i) + 1,
	}
	if c.options.Settings != nil {
		c.options.Settings(&values)
	}
	set := metrics.NewSet()
	host, err := entryhost.New(values, entryhost.Environment{
		Clock: clockwork.NewRealClock(), Metrics: set, Logger: c.options.Logger.With("host", values.HostID), Platform: usersplatform.NewServices(values.PlatformURL),
		Options: c.options.HostOptions,
	})
	if err != nil {
		return err
	}
	c.Hosts = append(c.Hosts, host)
	c.Metrics = append(c.Metrics, set)
	c.hostList = append(c.hostList, model.Host{
		ID: values.HostID, Role: model.RoleEntry, DataCentre: c.dataCentre(i),
		Address: host.CallerAddress(), PeerAddress: host.PeerAddress(), Incarnation: 1,
	})
	c.Platform.SetHosts(c.hostList)
	return host.Start()
}

// URL returns the base URL of an entry host. Numbers beyond the last host wrap
// around.
func (c *Cluster) URL(host int) string {
	return "http://" + c.Hosts[host%len(c.Hosts)].CallerAddress()
}

// WaitReady waits until every entry host reports that it is ready.
func (c *Cluster) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range c.Hosts {
		for !c.isReady(ctx, i) {
			select {
			case <-ctx.Done():
				return Error.New("entry host %d is not ready after %s", i, readyTimeout)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (c *Cluster) isReady(ctx context.Context, host int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL(host)+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Executions counts the POST calls that plain servers executed, by order.
func (c *Cluster) Executions() map[string]int {
	counts := make(map[string]int)
	for _, plain := range c.PlainServers {
		for _, execution := range plain.Executions() {
			if execution.Method == http.MethodPost {
				counts[execution.Order]++
			}
		}
	}
	return counts
}

// Attempts returns the generations that all engines ran, oldest first.
func (c *Cluster) Attempts() []standin.Attempt {
	var attempts []standin.Attempt
	for _, engine := range c.Engines {
		attempts = append(attempts, engine.Attempts()...)
	}
	slices.SortFunc(attempts, func(a, b standin.Attempt) int { return a.Started.Compare(b.Started) })
	return attempts
}

// Stop kills the entry hosts and stops the stand-ins.
func (c *Cluster) Stop() {
	for _, host := range c.Hosts {
		if host != nil {
			_ = host.Kill()
		}
	}
	c.cancel()
}

// Describe returns a summary of the cluster for the terminal, without a newline.
func (c *Cluster) Describe() string {
	names := make([]string, len(c.options.DataCentres))
	for i, name := range c.options.DataCentres {
		names[i] = string(name)
	}
	return fmt.Sprintf("%d entry hosts, %d engines and %d plain servers in data centres %s",
		len(c.Hosts), len(c.Engines), len(c.PlainServers), strings.Join(names, ", "))
}
