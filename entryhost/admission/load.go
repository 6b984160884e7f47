package admission

import (
	"math"
	"time"
)

// reportHalfLife is the age at which the work of other entry hosts in a load
// report counts half, as it may have ended since.
const reportHalfLife = 2 * time.Second

// estimateLoad adds to this entry host's in-flight count the work of other entry
// hosts: the reported requests beyond those that this host had in flight at the
// time of the report, discounted by the report's age.
func estimateLoad(inFlight, reported, inFlightAtReport int, age time.Duration) float64 {
	if reported <= inFlightAtReport {
		return float64(inFlight)
	}
	others := float64(reported - inFlightAtReport)
	return float64(inFlight) + others*math.Exp2(-age.Seconds()/reportHalfLife.Seconds())
}
