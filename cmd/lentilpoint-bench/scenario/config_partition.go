package scenario

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/platform"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	partitionHosts   = 9
	partitionCommits = 15
	// cutDataCentre cannot reach the platform, but can reach other data centres.
	cutDataCentre model.DataCentre = "smg"
)

// cutTable is a table service behind a partition.
type cutTable struct{}

// Transact implements platform.Table.
func (cutTable) Transact(context.Context, platform.Transaction) (platform.TransactResult, error) {
	return platform.TransactResult{}, errCut()
}

// Read implements platform.Table.
func (cutTable) Read(context.Context, string) (platform.Row, error) { return platform.Row{}, errCut() }

// Scan implements platform.Table.
func (cutTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, errCut()
}

func errCut() error { return platform.ErrUnavailable.New("the network is partitioned") }

// runConfigPartition commits revisions while one data centre is cut off from
// the platform. Its hosts must get them from other data centres.
func runConfigPartition(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 41))
	s, err := startConfigSite(ctx, parameters, partitionHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	s.cut = cutDataCentre
	for i := range s.hosts {
		if err := s.start(i); err != nil {
			return Report{}, err
		}
	}
	history := &churnHistory{}
	for range s.lives {
		history.lives = append(history.lives, span{begin: time.Now()})
	}
	for range partitionCommits {
		// The operator is in a data centre that reaches the platform.
		if err := s.commit(ctx, 3*random.IntN(partitionHosts/3)); err != nil {
			return Report{}, err
		}
		history.committed = append(history.committed, time.Now())
		time.Sleep(time.Duration(50+random.IntN(200)) * time.Millisecond)
	}
	time.Sleep(settleTime)
	history.endLives(time.Now())
	observed := s.take()
	violations := reverted(observed)
	delays, late := history.delays(observed)
	violations.Add(late)
	return Report{Violations: violations, Figures: map[string]float64{
		"revisions":       float64(len(history.committed)),
		"in_force_p50_ms": milliseconds(Quantile(delays, 0.5)),
		"in_force_p95_ms": milliseconds(Quantile(delays, 0.95)),
		"in_force_max_ms": milliseconds(Quantile(delays, 1)),
	}}, nil
}
