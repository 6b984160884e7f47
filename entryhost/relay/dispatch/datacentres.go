package dispatch

import (
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
)

const (
	// poolDownServers is the number of different servers of a pool that must be
	// unreachable or silent, with no answer from the pool in between, before the
	// whole pool is avoided; two may fail by chance.
	poolDownServers = 3
	// poolDownWindow is how long such a failure counts, and so how long the pool
	// is avoided after the last one; a crashed data centre is back after about a
	// second.
	poolDownWindow = time.Second
)

// serverPool identifies the servers of one service in one data centre.
type serverPool struct {
	service    string
	dataCentre string
}

func poolOf(server *routing.Server) serverPool {
	return serverPool{service: server.Service, dataCentre: server.DataCentre}
}

// poolFailures holds when each server of a pool was last unreachable or silent,
// since a server of the pool last answered.
type poolFailures struct {
	servers map[string]time.Time
}

// update returns the failures after an attempt at a server of the pool.
func (f poolFailures) update(server string, outcome Outcome, now time.Time) poolFailures {
	switch outcome {
	case OutcomeSuccess, OutcomeFailed, OutcomeRejected:
		return poolFailures{}
	case OutcomeUnreachable, OutcomeSilent:
		next := poolFailures{servers: map[string]time.Time{server: now}}
		for id, at := range f.servers {
			if id != server && now.Sub(at) < poolDownWindow {
				next.servers[id] = at
			}
		}
		return next
	default:
		return f
	}
}

// down reports whether the pool is to be avoided now.
func (f poolFailures) down(now time.Time) bool {
	recent := 0
	for _, at := range f.servers {
		if now.Sub(at) < poolDownWindow {
			recent++
		}
	}
	return recent >= poolDownServers
}
