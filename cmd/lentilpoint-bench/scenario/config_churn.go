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
	// maxPushDelay is the largest delay of a push. Delays are random, so that
	// pushes arrive out of order.
	maxPushDelay = 300 * time.Millisecond
	// settleTime is the wait before the check in which the last revision comes
	// into force.
	settleTime = configBound + 200*time.Millisecond
)

// churnOutages are the commits that an outage follows. An outage extends the
// deadlines around it, so the rest of the run is longer than configBound.
var churnOutages = []int{5, 11}

// span is the time between begin and end.
type span struct{ begin, end time.Time }

// churnHistory holds what the check needs in addition to the observations.
type churnHistory struct {
	// committed holds the times at which revisions 1, 2, ... were confirmed.
	committed []time.Time
	outages   []span
	// incarnations holds the time in which each incarnation ran.
	incarnations []span
}

func runConfigChurn(ctx context.Context, parameters Parameters) (Report, error) {
	random := rand.New(rand.NewPCG(parameters.Seed, 40))
	s, err := startConfigCluster(ctx, parameters, churnHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	s.network.SetDelay(maxPushDelay)
	for i := range s.hosts {
		if err := s.startHost(i); err != nil {
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
	history.endIncarnations(time.Now())
	observed := s.takeObservations()
	violations := countReverted(observed)
	delays, late := history.delays(observed)
	violations.Add(late)
	return Report{Violations: violations, Figures: map[string]float64{
		"revisions":                 float64(len(history.committed)),
		"host_starts":               float64(len(history.incarnations)),
		"outages":                   float64(len(history.outages)),
		"in_force_p50_ms":           milliseconds(Quantile(delays, 0.5)),
		"in_force_p95_ms":           milliseconds(Quantile(delays, 0.95)),
		"in_force_max_ms":           milliseconds(Quantile(delays, 1)),
		"platform_reads_per_change": float64(reads) / float64(len(history.committed)),
		"platform_reads_per_second": float64(reads) / elapsed.Seconds(),
		// The reads after the last change are those of polling alone.
		"idle_reads_per_second": float64(idle) / settleTime.Seconds(),
	}}, nil
}

// churn commits revisions, restarts hosts and takes the platform down.
func (s *configCluster) churn(ctx context.Context, random *rand.Rand, parameters Parameters) (*churnHistory, error) {
	history := &churnHistory{}
	for range s.incarnations {
		history.incarnations = append(history.incarnations, span{begin: time.Now()})
	}
	for i := range churnCommits {
		if err := s.commitRevision(ctx, random.IntN(churnHosts)); err != nil {
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

// restart replaces a host by a new one without state, as hosts have no disk.
func (s *configCluster) restart(history *churnHistory, number int) error {
	old := s.hosts[number]
	old.stop()
	history.incarnations[old.incarnation].end = time.Now()
	if err := s.startHost(number); err != nil {
		return err
	}
	history.incarnations = append(history.incarnations, span{begin: time.Now()})
	return nil
}

func (s *configCluster) outage(history *churnHistory, length time.Duration) {
	outage := span{begin: time.Now()}
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	time.Sleep(length)
	s.platform.SetFaults(standin.PlatformFaults{})
	outage.end = time.Now()
	history.outages = append(history.outages, outage)
}

func (h *churnHistory) endIncarnations(now time.Time) {
	for i := range h.incarnations {
		if h.incarnations[i].end.IsZero() {
			h.incarnations[i].end = now
		}
	}
}

// deadline returns the time at which a revision that was readable at from must
// be in force. An outage in between extends it, because no host can read the
// platform during an outage.
func (h *churnHistory) deadline(from time.Time) time.Time {
	deadline := from.Add(configBound)
	for _, outage := range h.outages {
		if outage.begin.Before(deadline) && outage.end.After(from) {
			deadline = outage.end.Add(configBound)
		}
	}
	return deadline
}

// delays returns the time until each revision was in force on each incarnation
// that ran until its deadline, and counts the late revisions.
func (h *churnHistory) delays(observed []observation) ([]time.Duration, check.Violations) {
	byIncarnation := make(map[int][]observation)
	for _, o := range observed {
		byIncarnation[o.incarnation] = append(byIncarnation[o.incarnation], o)
	}
	violations := check.Violations{}
	var delays []time.Duration
	for incarnation, running := range h.incarnations {
		for i, committed := range h.committed {
			from := committed
			if running.begin.After(from) {
				from = running.begin
			}
			deadline := h.deadline(from)
			if running.end.Before(deadline) {
				continue
			}
			at, found := inForceAt(byIncarnation[incarnation], model.Revision(i+1))
			if !found || at.After(deadline) {
				violations[violationLate]++
				continue
			}
			delays = append(delays, max(0, at.Sub(from)))
		}
	}
	return delays, violations
}

// inForceAt returns the time at which the revision, or a later one, came into
// force.
func inForceAt(observed []observation, revision model.Revision) (time.Time, bool) {
	for _, o := range observed {
		if o.revision >= revision {
			return o.at, true
		}
	}
	return time.Time{}, false
}
