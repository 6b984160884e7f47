package scenario

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	startHosts = 9
	// startRunning is the number of hosts that run before the outage.
	startRunning   = 6
	startRevisions = 40
	// silentDelay is longer than any deadline of a host, so that the platform
	// seems silent.
	silentDelay = 10 * time.Second
)

// runColdStart starts hosts during an outage. With an even seed the platform
// accepts connections and does not answer; with an odd one it refuses.
func runColdStart(ctx context.Context, parameters Parameters) (Report, error) {
	s, err := startConfigSite(ctx, parameters, startHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	for i := range startRunning {
		if err := s.start(i); err != nil {
			return Report{}, err
		}
	}
	for i := range startRevisions {
		if err := s.commit(ctx, i%startRunning); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(settleTime)
	faults := standin.PlatformFaults{Down: true}
	if parameters.Seed%2 == 0 {
		faults = standin.PlatformFaults{Delay: silentDelay}
	}
	s.platform.SetFaults(faults)
	for i := startRunning; i < startHosts; i++ {
		if err := s.start(i); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(settleTime)
	return s.coldStartReport(), nil
}

func (s *configSite) coldStartReport() Report {
	observed := s.take()
	violations := reverted(observed)
	var delays []time.Duration
	for _, life := range s.lives[startRunning:] {
		at, found := firstAt(observed, life.life, s.current.Revision)
		if !found || at.Sub(life.started) > configBound {
			violations[violationNotBegun]++
			continue
		}
		delays = append(delays, at.Sub(life.started))
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"hosts_started_in_outage": float64(startHosts - startRunning),
		"revisions":               float64(s.current.Revision),
		"start_max_ms":            milliseconds(Quantile(delays, 1)),
	}}
}

func firstAt(observed []observation, life int, revision model.Revision) (time.Time, bool) {
	for _, o := range observed {
		if o.life == life && o.revision >= revision {
			return o.at, true
		}
	}
	return time.Time{}, false
}
