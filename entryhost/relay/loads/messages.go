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
	// expireInterval is how often reports that no longer count are removed.
	expireInterval = time.Second
)
