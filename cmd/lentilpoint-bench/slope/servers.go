package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/enginewire"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	// idleSettleTime is the time for which an entry host runs before it is measured.
	idleSettleTime    = 3 * time.Second
	idleMeasurePeriod = 8 * time.Second
)

// Servers measures the CPU time, memory and load polls of an entry host without requests
// by the number of backend servers in its data centre.
var Servers = Measurement{
	Name:        "servers",
	Description: "an entry host without load by the number of backend servers in its data centre",
	Driver:      "backend servers",
	Excluded:    "requests; load reports that come with answers",
	Sizes:       []int{20, 50, 100, 200, 400},
	Measure:     measureServers,
}

// pollCounter answers for many backend servers at one address and counts their polls.
type pollCounter struct {
	server *http.Server
	polls  atomic.Int64
	bytes  atomic.Int64
}

func startPollCounter() (*pollCounter, string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", Error.Wrap(err)
	}
	counter := &pollCounter{}
	counter.server = &http.Server{Handler: http.HandlerFunc(counter.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = counter.server.Serve(listener) }()
	return counter, listener.Addr().String(), nil
}

// estimatedHeaderBytes is the estimated size of the headers of a poll and its answer
// together.
const estimatedHeaderBytes = 260

func (p *pollCounter) serve(w http.ResponseWriter, r *http.Request) {
	p.polls.Add(1)
	content := []byte(`{}`)
	if r.URL.Path == enginewire.PathLoad {
		content, _ = json.Marshal(enginewire.LoadReport{Versions: []string{cluster.VersionOne}, Capacity: 32, Incarnation: 1})
	}
	p.bytes.Add(int64(len(content) + estimatedHeaderBytes))
	_, _ = w.Write(content)
}

// newServerList returns host list entries for backend servers at one address.
func newServerList(count int, address string) []model.Host {
	hosts := make([]model.Host, count)
	for i := range hosts {
		hosts[i] = model.Host{
			ID: fmt.Sprintf("server-%04d", i), Role: model.RoleBackend, Service: cluster.ServiceAdvisor,
			DataCentre: "jkt", Address: address, Incarnation: 1,
		}
	}
	return hosts
}

func measureServers(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	counter, address, err := startPollCounter()
	if err != nil {
		return nil, err
	}
	defer func() { _ = counter.server.Close() }()
	return withHostProcess(ctx, cluster.Options{Seed: seed, ExtraHosts: newServerList(size, address)}, func(ctx context.Context, process *hostProcess) (map[string]float64, error) {
		time.Sleep(idleSettleTime)
		polls, bytes := counter.polls.Load(), counter.bytes.Load()
		figures, err := process.measureUsage(idleMeasurePeriod)
		if err != nil {
			return nil, err
		}
		figures["polls_per_s"] = float64(counter.polls.Load()-polls) / idleMeasurePeriod.Seconds()
		figures["poll_bytes_per_s"] = float64(counter.bytes.Load()-bytes) / idleMeasurePeriod.Seconds()
		return figures, nil
	})
}

// measureUsage returns the CPU usage of the process over a period, in percent of a core,
// and its resident memory at the end.
func (p *hostProcess) measureUsage(period time.Duration) (map[string]float64, error) {
	before, err := p.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	time.Sleep(period)
	after, err := p.metric("process_cpu_seconds_total")
	if err != nil {
		return nil, err
	}
	resident, err := p.metric("process_resident_memory_bytes")
	if err != nil {
		return nil, err
	}
	return map[string]float64{
		"core_percent":   100 * (after - before) / period.Seconds(),
		"resident_bytes": resident,
	}, nil
}
