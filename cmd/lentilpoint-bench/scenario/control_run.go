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
	versionTwo         = "advisor-v2"
	moveUnderTest      = model.MoveID("move-1")
	controlEntryHosts  = 4
	controlEngines     = 18
	moveTimeLimit      = 17 * time.Second
	moveRunLimit       = 23 * time.Second
	settleLimit        = 4 * time.Second
	requestsPerSecond  = 250
	chatShare          = 0.25
	ordinaryTokens     = 8
	requestDeadline    = 6 * time.Second
	progressInterval   = 50 * time.Millisecond
	timeAfterWithdrawn = 3 * time.Second
)

// moveRun is one version move under load.
type moveRun struct {
	c          *cluster.Cluster
	hosts      *controlHosts
	parameters Parameters
	random     *rand.Rand
	// tokens is sent to the load to change the length of its generations.
	tokens  chan int
	started time.Time
	// onset is when the version became bad; zero for good versions.
	onset time.Time
}

// moveOptions describe a run.
type moveOptions struct {
	checksFencing bool
	network       bool
	loadDelay     time.Duration
}

func startMoveRun(ctx context.Context, parameters Parameters, options moveOptions) (*moveRun, error) {
	hosts := newControlHosts(ctx, controlEntryHosts, parameters.Policy, options.network)
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

// putMove commits the move as an operator does.
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

// reached returns when the stage was committed.
func (r *moveRun) reached(stage int) (time.Time, bool) {
	for _, record := range r.records() {
		for _, change := range record.Changes {
			if change.PutMove != nil && change.PutMove.Stage >= stage && record.Revision > 2 {
				return record.At, true
			}
		}
	}
	return time.Time{}, false
}

// awaitStage waits until the stage was committed.
func (r *moveRun) awaitStage(ctx context.Context, stage int) bool {
	return r.await(ctx, moveRunLimit, func() bool {
		_, done := r.reached(stage)
		return done || r.move().State != model.MoveRunning
	})
}

// await polls a condition within the time limit.
func (r *moveRun) await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) || !sleep(ctx, progressInterval) {
			return false
		}
	}
	return true
}

// load sends requests at a fixed rate until the context ends and returns their
// number.
func (r *moveRun) load(ctx context.Context) int {
	clients := make([]*cluster.Client, 10)
	for i := range clients {
		clients[i] = cluster.NewClient(model.OrganisationID(fmt.Sprintf("member-%d", i)))
		defer clients[i].Close()
	}
	random := rand.New(rand.NewPCG(r.parameters.Seed, 21))
	finished := make(chan struct{}, 1<<14)
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	tokens, sent := ordinaryTokens, 0
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
	prompt := promptOf(random, number, 6)
	if random.Float64() < chatShare {
		body.Messages = []cluster.ChatMessage{{Role: "user", Content: prompt}}
	} else {
		body.Prompt = prompt
	}
	return body
}

// play runs the move under load with the faults until it has ended.
func (r *moveRun) play(ctx context.Context, faults func(ctx context.Context)) (int, error) {
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	sent := make(chan int, 1)
	go func() { sent <- r.load(loadContext) }()
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
	r.await(ctx, moveRunLimit, func() bool { return r.move().State != model.MoveRunning })
	stopFaults()
	<-ended
	r.hosts.resume()
	if move := r.move(); move.State == model.MoveWithdrawn {
		// Requests after the withdrawal show whether any still reach the version.
		sleep(ctx, timeAfterWithdrawn)
	}
	stopLoad()
	return <-sent, nil
}
