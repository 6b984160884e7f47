package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	versionTwo          = "advisor-v2"
	moveUnderTest       = model.MoveID("move-1")
	controlEntryHosts   = 4
	controlEngines      = 18
	moveTimeLimit       = 17 * time.Second
	moveRunTimeout      = 23 * time.Second
	settleTimeout       = 4 * time.Second
	requestsPerSecond   = 250
	chatShare           = 0.25
	defaultMinTokens    = 8
	requestDeadline     = 6 * time.Second
	pollInterval        = 50 * time.Millisecond
	loadAfterWithdrawal = 3 * time.Second
)

// moveRun is one version move under load.
type moveRun struct {
	c          *cluster.Cluster
	hosts      *controlHosts
	parameters Parameters
	random     *rand.Rand
	// tokens receives new minimum lengths of the load's generations, in tokens.
	tokens chan int
	// started is the start time of the move.
	started time.Time
	// faultStarted is when the version became bad; zero for good versions.
	faultStarted time.Time
}

// moveOptions describe the engines and the network of a run.
type moveOptions struct {
	// checksFencing makes engines refuse orders with old fencing numbers.
	checksFencing bool
	// delayInNetwork delays the orders of paused hosts in the network instead of
	// at the sender.
	delayInNetwork bool
	// pausedOrders pauses the orders of all hosts before the move begins.
	pausedOrders bool
	// loadDelay is the time that an engine takes to load a version.
	loadDelay time.Duration
}

func startMoveRun(ctx context.Context, parameters Parameters, options moveOptions) (*moveRun, error) {
	hosts := newControlHosts(ctx, controlEntryHosts, parameters.Policy, options.delayInNetwork)
	if options.pausedOrders {
		for _, gates := range hosts.gates {
			gates.orders.pause()
		}
	}
	engine := cluster.DefaultEngine()
	engine.ChecksFencing = options.checksFencing
	engine.LoadDelay = options.loadDelay
	var organisations []model.Organisation
	for i := range 10 {
		organisations = append(organisations, model.Organisation{ID: model.OrganisationID(fmt.Sprintf("member-%d", i)), Weight: 1})
	}
	c, err := cluster.Start(ctx, cluster.Options{
		Seed: parameters.Seed, EntryHosts: controlEntryHosts, Engines: controlEngines,
		Engine: engine, Organisations: organisations, HostOptions: hosts.options,
	})
	if err != nil {
		return nil, err
	}
	return &moveRun{
		c: c, hosts: hosts, parameters: parameters,
		random: rand.New(rand.NewPCG(parameters.Seed, 20)), tokens: make(chan int, 16),
	}, nil
}

func (r *moveRun) stop() {
	r.hosts.resume()
	r.c.Platform.SetFaults(noPlatformFaults)
	r.c.Stop()
}

// putMove commits the start of the move, as an operator does.
func (r *moveRun) putMove(ctx context.Context) error {
	r.started = time.Now()
	move := model.Move{
		ID: moveUnderTest, Service: cluster.ServiceAdvisor, From: cluster.VersionOne, To: versionTwo,
		Started: r.started, Deadline: r.started.Add(moveTimeLimit), State: model.MoveRunning,
	}
	return r.c.Commit(ctx, 1, []config.Change{{PutMove: &move}})
}

// records returns the committed revisions.
func (r *moveRun) records() []config.RevisionRecord {
	var records []config.RevisionRecord
	for _, row := range r.c.Platform.Rows(config.PrefixRevision) {
		var record config.RevisionRecord
		if json.Unmarshal(row.Value, &record) == nil {
			records = append(records, record)
		}
	}
	return records
}

// move returns the committed state of the move.
func (r *moveRun) move() model.Move {
	configuration := config.Empty()
	for _, record := range r.records() {
		configuration, _ = config.Apply(configuration, record)
	}
	return configuration.Moves[moveUnderTest]
}

// stageReached returns when the move committed the stage or a later one. Revision 1
// is the initial configuration, and revision 2 only starts the move.
func (r *moveRun) stageReached(stage int) (time.Time, bool) {
	for _, record := range r.records() {
		for _, change := range record.Changes {
			if change.PutMove != nil && change.PutMove.Stage >= stage && record.Revision > 2 {
				return record.At, true
			}
		}
	}
	return time.Time{}, false
}

// awaitStage waits until the stage is committed or the move has ended.
func (r *moveRun) awaitStage(ctx context.Context, stage int) bool {
	return r.await(ctx, moveRunTimeout, func() bool {
		_, done := r.stageReached(stage)
		return done || r.move().State != model.MoveRunning
	})
}

// await polls a condition and reports whether it held within the time limit.
func (r *moveRun) await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) || !sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}

// sendRequests sends requests at a fixed rate until the context ends and
// returns their number.
func (r *moveRun) sendRequests(ctx context.Context) int {
	clients := make([]*cluster.Client, 10)
	for i := range clients {
		clients[i] = cluster.NewClient(model.OrganisationID(fmt.Sprintf("member-%d", i)))
		defer clients[i].Close()
	}
	random := rand.New(rand.NewPCG(r.parameters.Seed, 21))
	finished := make(chan struct{}, 1<<14)
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	tokens, sent := defaultMinTokens, 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case tokens = <-r.tokens:
		case <-ticker.C:
			sent++
			body, host := drawRequest(random, sent, tokens), random.IntN(1<<16)
			client := clients[random.IntN(len(clients))]
			go func() {
				requestContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestDeadline)
				defer cancel()
				client.Generate(requestContext, r.c.URL(host), body, "")
				finished <- struct{}{}
			}()
		}
	}
	for range sent {
		<-finished
	}
	return sent
}

func drawRequest(random *rand.Rand, number, tokens int) cluster.GenerationRequest {
	body := cluster.GenerationRequest{
		Model: string(cluster.ServiceAdvisor), MaxTokens: tokens + random.IntN(tokens), Seed: int64(number),
	}
	prompt := randomPrompt(random, number, 6)
	if random.Float64() < chatShare {
		body.Messages = []cluster.ChatMessage{{Role: "user", Content: prompt}}
	} else {
		body.Prompt = prompt
	}
	return body
}

// runUnderLoad runs the move under load and faults until the move has ended,
// and returns the number of requests sent.
func (r *moveRun) runUnderLoad(ctx context.Context, faults func(ctx context.Context)) (int, error) {
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sent := make(chan int, 1)
	go func() { sent <- r.sendRequests(loadContext) }()
	if !sleep(ctx, 500*time.Millisecond) {
		return 0, Error.Wrap(ctx.Err())
	}
	if err := r.putMove(ctx); err != nil {
		return 0, err
	}
	faultContext, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if faults != nil {
			faults(faultContext)
		}
	}()
	r.await(ctx, moveRunTimeout, func() bool { return r.move().State != model.MoveRunning })
	stopFaults()
	<-ended
	r.hosts.resume()
	if move := r.move(); move.State == model.MoveWithdrawn {
		// The load continues, to show whether requests still reach the version.
		sleep(ctx, loadAfterWithdrawal)
	}
	stopLoad()
	return <-sent, nil
}
