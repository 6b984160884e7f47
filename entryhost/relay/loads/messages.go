// Package loads keeps the attempts that all entry hosts have on the servers of a
// data centre. One host of the data centre, chosen by rendezvous hashing, is its
// collector: the others report their own attempts there and receive those of all
// others. Without it a host knows only its own attempts, and hosts that each see few
// requests choose a server that is reading a prompt for another host.
package loads

import (
	"time"

	"github.com/lentilpoint/lentilpoint/task"
)

// Load counts the attempts on a server.
type Load struct {
	// Reading attempts have not sent an event yet, Decoding ones have.
	Reading  int
	Decoding int
	// Failed are the recent attempts that the server failed, since the last one of the
	// same host that it answered. Hosts of earlier builds do not send it.
	Failed int
}

const (
	// The unit of costs is a second by which a stream is delayed.
	//
	// prefillCost is the cost of an attempt that has sent no event yet: a new attempt
	// waits for half of its prompt on average, and each prompt takes about a second
	// of the engine.
	prefillCost = 1.5
	// decodingCost is the cost of an attempt that sends events, which the new prompt
	// delays.
	decodingCost = 0.9
	// failedCost is the cost of a recent failure: the time of the attempt that may be lost
	// with another one, up to maxFailuresCounted of them. Any busy server that answers is
	// better than one that fails each request.
	failedCost         = 1.5
	maxFailuresCounted = 4
	// promptSeconds is the time in which a server of average speed reads a prompt.
	promptSeconds = 1.0
)

// Cost returns the delay of a further attempt on a server with these attempts, against that
// on an idle server of average speed. The slowdown is the part by which the server takes
// longer than that; see Speeds.
func (l Load) Cost(slowdown float64) float64 {
	return prefillCost*float64(l.Reading) + decodingCost*float64(l.Decoding) + failedCost*float64(min(l.Failed, maxFailuresCounted)) + slowdown*promptSeconds
}

// Proposal is a server that a host could choose, and its cost to that host without the
// attempts on it.
type Proposal struct {
	Server string
	Cost   float64
}

// FirstEvent is the time in seconds that a server took to its first event without another
// prompt beside it.
type FirstEvent struct {
	Service string
	Seconds float64
}

// HostLoads holds the attempts of one host on the servers of a data centre.
type HostLoads struct {
	Host       string
	DataCentre string
	// Sequence orders the reports of a host, which may overtake each other. It
	// grows over restarts.
	Sequence int64
	// Servers holds the host's attempts by id of the server, without idle servers.
	Servers map[string]Load
	// Organisations counts the host's reading attempts by organisation.
	Organisations map[string]int
	// Ranks counts the same attempts by rank. Hosts of earlier builds do not send it.
	Ranks map[int]int
	// Proposals are the servers of which the collector is asked to grant one; none if the
	// report is not an ask. Pending are the sequences of this host's asks that it has not
	// acted on, of which the grants stay reserved. Hosts of earlier builds send neither.
	Proposals []Proposal
	Pending   []int64
	// FirstEvents are the times that servers took since the host's last report, by id.
	FirstEvents map[string]FirstEvent
	// Calls are those of plain services that the host has seen since its last report, and
	// not before the last CallWindowLength. Hosts of earlier builds do not send them.
	Calls map[string]ServiceCalls
}

// Others holds the attempts of all hosts but the one that asked: by id of the
// server, and the reading ones by organisation and by rank.
type Others struct {
	Servers       map[string]Load
	Organisations map[string]int
	// Ranks lacks the attempts of hosts of earlier builds, and all of them if the
	// collector is of an earlier build; see ByRank.
	Ranks map[int]int
	// Granted is the id of the proposed server that is reserved for the host until it
	// reports again. It is empty if there was no proposal or the collector is of an
	// earlier build.
	Granted string
	// Calls are those that all hosts of the data centre, with the one that asked, reported
	// within CallWindowLength, by plain service.
	Calls map[string]ServiceCalls
}

// Exchange delivers a report and asks for the attempts of the other hosts.
type Exchange struct {
	Report HostLoads
	Reply  task.Reply[Others]
}

const (
	// mailboxSize is the capacity for reports; a host reports a few times for each
	// stream. A report that does not fit is refused, and the sender chooses by its
	// own attempts.
	mailboxSize = 256
	// RefreshInterval is how often a host with attempts reports them without a
	// change, and reportLifetime how long a report counts without another one. The
	// attempts of a host that is gone have ended.
	RefreshInterval = 2 * time.Second
	reportLifetime  = 3 * RefreshInterval
	// grantLifetime is how long a granted server is reserved without a further report of
	// the host, which follows within milliseconds on a host that is not overloaded.
	grantLifetime = 300 * time.Millisecond
	// expireInterval is how often reports that no longer count are removed.
	expireInterval = time.Second
)
