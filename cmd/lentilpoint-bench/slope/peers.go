package slope

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/thejerf/suture/v4"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
	"github.com/lentilpoint/lentilpoint/task"
)

const (
	// peersSettleTime is the time for which hosts run before they are measured.
	peersSettleTime    = 5 * time.Second
	peersMeasurePeriod = 8 * time.Second
)

// Peers measures the cost of membership and shared facts by the number of entry hosts
// in a data centre.
var Peers = Measurement{
	Name:        "peers",
	Description: "membership and facts of an entry host by the number of hosts in its data centre",
	Driver:      "entry hosts in one data centre",
	Excluded:    "links to other data centres; facts beyond two for each host, refreshed each 10 s",
	Sizes:       []int{3, 6, 12, 22, 44},
	Measure:     measurePeers,
}

// peerNode is an entry host that runs only the tasks of package peers.
type peerNode struct {
	app               *fx.App
	root              *suture.Supervisor
	host              model.Host
	metricSet         *metrics.Set
	hostListMailboxes []task.Mailbox[platform.HostsRead]
	messages          task.Mailbox[peers.Message]
	listener          *peers.Listener
}

// peerNodeParams are the components that fx provides to a peerNode.
type peerNodeParams struct {
	fx.In

	Children task.Children
	Hosts    []task.Mailbox[platform.HostsRead] `group:"host_list_subscribers"`
	Messages task.Mailbox[peers.Message]
	Listener *peers.Listener
}

func newPeerNode(id string, dataCentre model.DataCentre, seed uint64) (*peerNode, error) {
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	values := settings.Settings{
		HostID: id, DataCentre: string(dataCentre), PeerAddress: "127.0.0.1:0", PeerSecret: "secret", RandomSeed: seed,
	}
	n := &peerNode{metricSet: metrics.NewSet()}
	n.app = fx.New(peers.Module, fx.Supply(values, n.metricSet, logger, task.NewMailbox[platform.RefreshHosts](1)),
		fx.Provide(clockwork.NewRealClock),
		fx.Invoke(func(in peerNodeParams) {
			n.hostListMailboxes, n.messages, n.listener = in.Hosts, in.Messages, in.Listener
			n.root = task.NewSupervisor(id, task.DefaultRestartPolicy, logger)
			for _, child := range in.Children.Services {
				n.root.Add(child)
			}
		}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := n.app.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	n.host = model.Host{
		ID: id, Role: model.RoleEntry, DataCentre: dataCentre, PeerAddress: n.listener.Address(), Incarnation: 1,
	}
	return n, nil
}

func (n *peerNode) sendHostList(hosts []model.Host) {
	for _, mailbox := range n.hostListMailboxes {
		_ = mailbox.TrySend(platform.HostsRead{Hosts: hosts})
	}
}

// countAlive returns the number of members that the node considers alive.
func (n *peerNode) countAlive(ctx context.Context) int {
	members, _ := task.Call(ctx, n.messages, func(reply task.Reply[[]peers.Member]) peers.Message {
		return peers.Members{Reply: reply}
	})
	count := 0
	for _, member := range members {
		if member.Alive {
			count++
		}
	}
	return count
}

func (n *peerNode) bytesSent() float64 {
	return float64(n.metricSet.GetOrCreateCounter("lentilpoint_peer_bytes_sent_total").Get())
}

func (n *peerNode) bytesReceived() float64 {
	return float64(n.metricSet.GetOrCreateCounter("lentilpoint_peer_bytes_received_total").Get())
}

// startPeerNodes starts the nodes and sends each of them the list of all nodes.
func startPeerNodes(ctx context.Context, size int, seed uint64) ([]*peerNode, error) {
	nodes := make([]*peerNode, 0, size)
	hosts := make([]model.Host, 0, size)
	for i := range size {
		n, err := newPeerNode(fmt.Sprintf("entry-%03d", i), "dc-01", seed*1000+uint64(i)+1)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		hosts = append(hosts, n.host)
	}
	for _, n := range nodes {
		n.root.ServeBackground(ctx)
		n.sendHostList(hosts)
	}
	return nodes, nil
}

func measurePeers(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	heapBefore := heapBytes()
	nodes, err := startPeerNodes(ctx, size, seed)
	if err != nil {
		return nil, err
	}
	for _, n := range nodes {
		for _, kind := range []peers.FactKind{peers.FactUsage, peers.FactRevision} {
			_ = n.messages.TrySend(peers.Publish{Fact: peers.Fact{Kind: kind, Key: "all", Value: make([]byte, 64)}})
		}
	}
	time.Sleep(peersSettleTime)
	sent, received, cpu, started := sumUsage(nodes)
	lowestAlive := size
	for end := time.Now().Add(peersMeasurePeriod); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, n := range nodes {
			lowestAlive = min(lowestAlive, n.countAlive(ctx))
		}
	}
	sentAfter, receivedAfter, cpuAfter, ended := sumUsage(nodes)
	seconds := ended.Sub(started).Seconds()
	perHost := seconds * float64(size)
	return map[string]float64{
		"sent_bytes_per_s":     (sentAfter - sent) / perHost,
		"received_bytes_per_s": (receivedAfter - received) / perHost,
		"core_percent":         100 * (cpuAfter - cpu).Seconds() / perHost,
		"heap_bytes":           (heapBytes() - heapBefore) / float64(size),
		"alive_missing_max":    float64(size - 1 - lowestAlive),
	}, nil
}

// sumUsage returns the bytes that all nodes have sent and received, and the CPU time of
// this process, which runs all of them.
func sumUsage(nodes []*peerNode) (sent, received float64, cpu time.Duration, at time.Time) {
	for _, n := range nodes {
		sent += n.bytesSent()
		received += n.bytesReceived()
	}
	return sent, received, cpuTime(), time.Now()
}
