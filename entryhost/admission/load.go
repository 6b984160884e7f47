package admission

import (
	"math"
	"time"
)

// reportHalfLife is the age at which a load report counts half. Other entry
// hosts' work may have ended since.
const reportHalfLife = 2 * time.Second

// estimatedLoad combines this entry host's in-flight count with a lagging load
// report. Of the reported work, what this host had in flight at the time of the
// report is already in own; only the rest, discounted by age, is added.
func estimatedLoad(own, reported, ownAtReport int, age time.Duration) float64 {
	if reported <= ownAtReport {
		return float64(own)
	}
	others := float64(reported - ownAtReport)
	return float64(own) + others*math.Exp2(-age.Seconds()/reportHalfLife.Seconds())
}
