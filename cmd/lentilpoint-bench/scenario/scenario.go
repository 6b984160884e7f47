// Package scenario holds the experiments: each starts a cluster, applies load
// and faults that are drawn from a seed, and checks the recorded history after
// the run.
package scenario

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/check"
)

// Error is the class of errors of this package.
var Error = errs.Class("scenario")

// RunTimeout is the time after which the context of a run ends.
const RunTimeout = 30 * time.Second

// PolicyDefault is the policy of the daemon, as opposed to a baseline.
const PolicyDefault = "default"

// Parameters are the inputs of one run of a scenario.
type Parameters struct {
	Seed uint64
	// Policy is PolicyDefault or the name of a baseline; empty means PolicyDefault.
	Policy string
	// Progress, if not nil, is called with each progress line for the terminal.
	Progress func(format string, arguments ...any)
}

func (p Parameters) progress(format string, arguments ...any) {
	if p.Progress != nil {
		p.Progress(format, arguments...)
	}
}

// Report is the result of one run.
type Report struct {
	Scenario   string           `json:"scenario"`
	Seed       uint64           `json:"seed"`
	Policy     string           `json:"policy"`
	Violations check.Violations `json:"violations"`
	// Figures are the measured values by name; a name ends with its unit if it
	// has one.
	Figures map[string]float64 `json:"figures"`
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	// Description describes the experiment in one line.
	Description string
	// Baselines are the names of the policies that a run accepts in addition to
	// PolicyDefault.
	Baselines []string
	// Run is called by the function Run of this package, which sets the time limit
	// and completes the report.
	Run func(ctx context.Context, parameters Parameters) (Report, error)
}

// All returns the scenarios in order of their names.
func All() []Scenario {
	all := slices.Concat(
		recoveryScenarios,
		controlScenarios,
		configScenarios,
		doubleFaultScenarios,
		atMostOnceScenarios,
		tokenPathScenarios,
		admissionScenarios,
	)
	slices.SortFunc(all, func(a, b Scenario) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Find returns the scenario of this name.
func Find(name string) (Scenario, bool) {
	for _, scenario := range All() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}

// Run runs a scenario within RunTimeout and adds its name, seed and policy to
// the report. It fails if the scenario doesn't have the baseline.
func Run(ctx context.Context, scenario Scenario, parameters Parameters) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, RunTimeout)
	defer cancel()
	if parameters.Policy == "" {
		parameters.Policy = PolicyDefault
	}
	if parameters.Policy != PolicyDefault && !slices.Contains(scenario.Baselines, parameters.Policy) {
		return Report{}, Error.New("scenario %s has no baseline %q; it has %v", scenario.Name, parameters.Policy, scenario.Baselines)
	}
	report, err := scenario.Run(ctx, parameters)
	report.Scenario = scenario.Name
	report.Seed = parameters.Seed
	report.Policy = parameters.Policy
	return report, err
}

// Quantile returns the q-quantile of the values, with q from 0 to 1; 0 without
// values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
