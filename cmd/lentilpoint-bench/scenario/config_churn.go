package scenario

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	churnHosts   = 12
	churnCommits = 40
	// churnReorder delays each push by up to this time, so that pushes overtake
	// each other.
	churnReorder = 300 * time.Millisecond
	// settleTime lets the last revision come into force before the check.
	settleTime = configBound + 200*time.Millisecond
)

// churnOutages are the commits that an outage follows. The rest of the run is
// longer than the bound, as an outage excuses what is late near it.
var churnOutages = []int{5, 11}

// span is a time from begin to end.
type span struct{ begin, end time.Time }

// churnHistory is what the checker needs besides the observations.
type churnHistory struct {
	// committed holds the times when revisions 1, 2, ... were confirmed.
	committed []time.Time
	outages   []span
	// lives holds the time in which each life ran.
	lives []span
}

func runConfigChurn(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 40))
	s, err := startConfigSite(ctx, parameters, churnHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	s.exchange.SetDelay(churnReorder)
	for i := range s.hosts {
		if err := s.start(i); err != nil {
			return Report{}, err
		}
	}
	begin := time.Now()
	history, err := s.churn(ctx, random, parameters)
	if err != nil {
		return Report{}, err
	}
	elapsed := time.Since(begin)
	reads := s.platform.Counts().Reads
	time.Sleep(settleTime)
	idle := s.platform.Counts().Reads - reads
	history.endLives(time.Now())
	observed := s.take()
	violations := reverted(observed)
	delays, late := history.delays(observed)
	violations.Add(late)
	return Report{Violations: violations, Figures: map[string]float64{
		"revisions":                 float64(len(history.committed)),
		"host_starts":               float64(len(history.lives)),
		"outages":                   float64(len(history.outages)),
		"in_force_p50_ms":           milliseconds(Quantile(delays, 0.5)),
		"in_force_p95_ms":           milliseconds(Quantile(delays, 0.95)),
		"in_force_max_ms":           milliseconds(Quantile(delays, 1)),
		"platform_reads_per_change": float64(reads) / float64(len(history.committed)),
		"platform_reads_per_second": float64(reads) / elapsed.Seconds(),
		// The time after the last change shows what polling costs between changes.
		"idle_reads_per_second": float64(idle) / settleTime.Seconds(),
	}}, nil
}

// churn commits revisions, restarts hosts and takes the platform down.
func (s *configSite) churn(ctx context.Context, random *rand.Rand, parameters Parameters) (*churnHistory, error) {
	history := &churnHistory{}
	for range s.lives {
		history.lives = append(history.lives, span{begin: time.Now()})
	}
	for i := range churnCommits {
		if err := s.commit(ctx, random.IntN(churnHosts)); err != nil {
			return nil, err
		}
		history.committed = append(history.committed, time.Now())
		time.Sleep(time.Duration(20+random.IntN(180)) * time.Millisecond)
		if i%4 == 3 {
			if err := s.restart(history, random.IntN(churnHosts)); err != nil {
				return nil, err
			}
		}
		if slices.Contains(churnOutages, i) {
			parameters.progress("the platform is down after revision %d", s.current.Revision)
			s.outage(history, time.Duration(500+random.IntN(1000))*time.Millisecond)
		}
	}
	return history, nil
}

// restart replaces a host, as diskless hosts are replaced.
func (s *configSite) restart(history *churnHistory, number int) error {
	old := s.hosts[number]
	old.stop()
	history.lives[old.life].end = time.Now()
	if err := s.start(number); err != nil {
		return err
	}
	history.lives = append(history.lives, span{begin: time.Now()})
	return nil
}

func (s *configSite) outage(history *churnHistory, length time.Duration) {
	outage := span{begin: time.Now()}
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(length)
	s.platform.SetFaults(standin.PlatformFaults{})
	outage.end = time.Now()
	history.outages = append(history.outages, outage)
}

func (h *churnHistory) endLives(now time.Time) {
	for i := range h.lives {
		if h.lives[i].end.IsZero() {
			h.lives[i].end = now
		}
	}
}

// deadline returns when a revision that could first be read at the time must be
// in force. An outage before that moves it, because no host can read meanwhile.
func (h *churnHistory) deadline(from time.Time) time.Time {
	deadline := from.Add(configBound)
	for _, outage := range h.outages {
		if outage.begin.Before(deadline) && outage.end.After(from) {
			deadline = outage.end.Add(configBound)
		}
	}
	return deadline
}

// delays returns the time until each revision was in force in each life that
// ran until its deadline, and counts the late ones.
func (h *churnHistory) delays(observed []observation) ([]time.Duration, check.Violations) {
	byLife := make(map[int][]observation)
	for _, o := range observed {
		byLife[o.life] = append(byLife[o.life], o)
	}
	violations := check.Violations{}
	var delays []time.Duration
	for life, ran := range h.lives {
		for i, committed := range h.committed {
			from := committed
			if ran.begin.After(from) {
				from = ran.begin
			}
			deadline := h.deadline(from)
			if ran.end.Before(deadline) {
				continue
			}
			at, found := inForceAt(byLife[life], model.Revision(i+1))
			if !found || at.After(deadline) {
				violations[violationLate]++
				continue
			}
			delays = append(delays, max(0, at.Sub(from)))
		}
	}
	return delays, violations
}

// inForceAt returns when the revision, or a later one, came into force.
func inForceAt(observed []observation, revision model.Revision) (time.Time, bool) {
	for _, o := range observed {
		if o.revision >= revision {
			return o.at, true
		}
	}
	return time.Time{}, false
}
