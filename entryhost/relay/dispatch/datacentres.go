package dispatch

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// lossServers is the number of servers of a data centre that must be lost in a row
	// before the others of the data centre are avoided; two may fail by chance.
	lossServers = 3
	// lossMemory is how long a loss counts, and how long the data centre is avoided
	// after the last one; a crashed data centre is back after about a second.
	lossMemory = time.Second
)

// place is where the servers of a service stand.
type place struct {
	service    string
	dataCentre string
}

func placeOf(server *routing.Server) place {
	return place{service: server.Service, dataCentre: server.DataCentre}
}

// loss is the servers of a place that were lost since one last answered.
type loss struct {
	servers map[string]time.Time
}

// learn returns the loss after an outcome at a server of the place.
func (l loss) learn(server string, outcome Outcome, now time.Time) loss {
	switch outcome {
	case OutcomeSuccess, OutcomeFailed, OutcomeRejected:
		return loss{}
	case OutcomeUnreachable, OutcomeSilent:
		next := loss{servers: map[string]time.Time{server: now}}
		for id, at := range l.servers {
			if id != server && now.Sub(at) < lossMemory {
				next.servers[id] = at
			}
		}
		return next
	default:
		return l
	}
}

// lost reports whether the place is to be avoided now.
func (l loss) lost(now time.Time) bool {
	recent := 0
	for _, at := range l.servers {
		if now.Sub(at) < lossMemory {
			recent++
		}
	}
	return recent >= lossServers
}
