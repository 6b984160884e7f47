package scenario

import (
	"context"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/standin"
	"github.com/lentilpoint/lentilpoint/model"
)

const (
	coldStartHosts = 9
	// coldStartRunning is the number of hosts that start before the outage.
	coldStartRunning   = 6
	coldStartRevisions = 40
	// unansweredDelay exceeds all deadlines of a host, so that the platform never
	// answers in time.
	unansweredDelay = 10 * time.Second
)

// runColdStart starts hosts during an outage. With an even seed the platform
// accepts connections and does not answer; with an odd one it refuses requests.
func runColdStart(ctx context.Context, parameters Parameters) (Report, error) {
	s, err := startConfigCluster(ctx, parameters, coldStartHosts)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	for i := range coldStartRunning {
		if err := s.startHost(i); err != nil {
			return Report{}, err
		}
	}
	for i := range coldStartRevisions {
		if err := s.commitRevision(ctx, i%coldStartRunning); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(settleTime)
	faults := standin.PlatformFaults{Down: true}
	if parameters.Seed%2 == 0 {
		faults = standin.PlatformFaults{Delay: unansweredDelay}
	}
	s.platform.SetFaults(faults)
	for i := coldStartRunning; i < coldStartHosts; i++ {
		if err := s.startHost(i); err != nil {
			return Report{}, err
		}
	}
	time.Sleep(settleTime)
	return s.coldStartReport(), nil
}

func (s *configCluster) coldStartReport() Report {
	observed := s.takeObservations()
	violations := countReverted(observed)
	var delays []time.Duration
	for _, host := range s.incarnations[coldStartRunning:] {
		at, found := firstInForce(observed, host.incarnation, s.current.Revision)
		if !found || at.Sub(host.started) > configBound {
			violations[violationNoConfiguration]++
			continue
		}
		delays = append(delays, at.Sub(host.started))
	}
	return Report{Violations: violations, Figures: map[string]float64{
		"hosts_started_in_outage": float64(coldStartHosts - coldStartRunning),
		"revisions":               float64(s.current.Revision),
		"start_max_ms":            milliseconds(Quantile(delays, 1)),
	}}
}

func firstInForce(observed []observation, incarnation int, revision model.Revision) (time.Time, bool) {
	for _, o := range observed {
		if o.incarnation == incarnation && o.revision >= revision {
			return o.at, true
		}
	}
	return time.Time{}, false
}
