// Package peering connects entry hosts by net/rpc. Hosts read each other's copies
// of the store's tables, so that a host that the store does not serve stays up to
// date, pay for each other's retries from their retry budgets, and exchange
// reports of requests that crash servers.
package peering

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/memory"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/loads"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/moves"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("peering")

const (
	copiesService   = "Copies"
	budgetService   = "Budget"
	suspectsService = "Suspects"
	loadsService    = "Loads"
	promptsService  = "Prompts"
	// callTimeout bounds a call to one peer, which is at most 3 ms away.
	callTimeout = 200 * time.Millisecond
	// maxPollTimeout bounds how long a reply is held.
	maxPollTimeout = 2 * time.Second
	// maxPeersQueried bounds the number of peers that one round queries.
	maxPeersQueried = 3
	// maxLendersQueried bounds the number of hosts that are asked to pay for one
	// retry, and lendTimeout the time for each; a host answers within 3 ms.
	maxLendersQueried = 4
	lendTimeout       = 25 * time.Millisecond
	// maxPeerBytes bounds what is read from one connection. A full copy of a
	// configuration has at most 4 MB, and 3,300 registrations have less than 1 MB.
	maxPeerBytes = 16 << 20
)

// boundedConn is a connection from which at most a number of bytes are read.
type boundedConn struct {
	net.Conn

	remaining int
}

// Read implements io.Reader.
func (c *boundedConn) Read(buffer []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, Error.New("the peer sent more than %d bytes", maxPeerBytes)
	}
	count, err := c.Conn.Read(buffer[:min(len(buffer), c.remaining)])
	c.remaining -= count
	return count, err
}

// Budget is the net/rpc service that pays for retries of other hosts from this
// host's retry budgets.
type Budget struct {
	dispatcher task.Mailbox[dispatch.Message]
}

// Lend sets granted to whether this host's budget of the service pays for one
// retry.
func (b *Budget) Lend(service string, granted *bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	paid, err := task.Call(ctx, b.dispatcher, func(reply task.Reply[bool]) dispatch.Message {
		return dispatch.LendRetry{Service: service, Reply: reply}
	})
	*granted = paid
	return err
}

// Listener is the task that owns the socket for other entry hosts.
type Listener struct {
	socket     task.Socket
	followers  map[string]task.Mailbox[mirror.ChangesRequest]
	dispatcher task.Mailbox[dispatch.Message]
	suspects   task.Mailbox[suspects.Message]
	loads      task.Mailbox[loads.Exchange]
	mover      task.Mailbox[moves.StateRequest]
	budget     *memory.Budget
	table      *memory.Table
}

// NewListener returns a listener on a bound socket. It serves the followers' copies,
// which are keyed by table, and the dispatcher's budget, and delivers peers' reports
// of suspects and of loads. The mover tells peers which states it follows. The budget and
// the table bound what peers may take.
func NewListener(listener net.Listener, budget *memory.Budget, table *memory.Table, followers map[string]task.Mailbox[mirror.ChangesRequest], dispatcher task.Mailbox[dispatch.Message], suspected task.Mailbox[suspects.Message], collector task.Mailbox[loads.Exchange], mover task.Mailbox[moves.StateRequest]) *Listener {
	return &Listener{socket: task.NewSocket(listener), budget: budget, table: table, followers: followers, dispatcher: dispatcher, suspects: suspected, loads: collector, mover: mover}
}

// String names the task in the logs.
func (l *Listener) String() string { return "peering" }

// Serve accepts connections until the context ends. A peer makes one call on each
// connection and closes it.
func (l *Listener) Serve(ctx context.Context) error {
	listener, err := l.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	// After a failure the restarted task binds the address again.
	defer func() { _ = listener.Close() }()
	release := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer release()
	limited := memory.Listener{Listener: listener, Table: l.table}
	server := rpc.NewServer()
	for name, service := range map[string]any{
		copiesService: &Copies{followers: l.followers}, budgetService: &Budget{dispatcher: l.dispatcher}, suspectsService: &Suspects{mailbox: l.suspects},
		loadsService: &Loads{mailbox: l.loads}, promptsService: &Prompts{dispatcher: l.dispatcher}, movesService: &Moves{mover: l.mover},
		routesService: &Routes{dispatcher: l.dispatcher},
	} {
		if err := server.RegisterName(name, service); err != nil {
			return Error.Wrap(err)
		}
	}
	for {
		conn, err := limited.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if err := conn.SetDeadline(time.Now().Add(maxPollTimeout + 2*callTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go server.ServeConn(newRequestConn(conn, l.budget))
	}
}

// Peers queries other entry hosts for their copies. It implements mirror.Peers.
type Peers struct {
	// DataCentre is this host's data centre, Self its address among its peers.
	DataCentre string
	Self       string
	// Region holds the data centres of this host's region; if it is empty, all are.
	Region map[string]bool
	// Seeds are peer addresses from the settings, used while no host is known.
	Seeds []string
	// Hosts returns the known entry hosts.
	Hosts func(ctx context.Context) []routing.Host
}

// readerKey is the rendezvous key by which hosts choose the readers of the store.
const readerKey = "store-reader"

// StoreReader implements mirror.Peers. A host reads from the host with the highest
// rendezvous weight of its data centre; that host reads from the one with the
// highest weight of the region, and that one reads the store. Each host reads from
// one with a higher weight, so that hosts with different lists of hosts never read
// from each other in a circle.
func (p *Peers) StoreReader(ctx context.Context, excluded map[string]time.Time) string {
	own := routing.RendezvousWeight(p.Self, readerKey)
	local, regional := reader{weight: own}, reader{weight: own}
	for _, host := range p.Hosts(ctx) {
		if _, isExcluded := excluded[host.Address]; isExcluded || host.Address == p.Self {
			continue
		}
		weight := routing.RendezvousWeight(host.Address, readerKey)
		if host.DataCentre == p.DataCentre && weight > local.weight {
			local = reader{address: host.Address, weight: weight}
		}
		if (len(p.Region) == 0 || p.Region[host.DataCentre]) && weight > regional.weight {
			regional = reader{address: host.Address, weight: weight}
		}
	}
	if local.address != "" {
		return local.address
	}
	return regional.address
}

// reader is a host that others may read from; its address is empty for this host.
type reader struct {
	address string
	weight  uint64
}

// QueryHost implements mirror.Peers.
func (p *Peers) QueryHost(ctx context.Context, host string, query mirror.Query) (mirror.Answer, error) {
	return fetchChanges(ctx, host, query)
}

// QueryAny implements mirror.Peers.
func (p *Peers) QueryAny(ctx context.Context, query mirror.Query) (mirror.Answer, error) {
	var last mirror.Answer
	err := Error.New("no other entry host is known")
	addresses := peersToQuery(p.DataCentre, p.Self, p.Hosts(ctx), p.Seeds)
	for i, address := range addresses {
		callContext, cancel := context.WithTimeout(ctx, timeSlice(ctx, len(addresses)-i))
		answer, callErr := fetchChanges(callContext, address, query)
		cancel()
		if callErr != nil {
			err = callErr
			continue
		}
		if answer.Changes.IsAfter(query) {
			return answer, nil
		}
		last, err = answer, nil
	}
	return last, err
}

// timeSlice returns the time for the next peer when the given number remain: an
// equal part of the time left, but at least callTimeout.
func timeSlice(ctx context.Context, peers int) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return callTimeout
	}
	return max(callTimeout, time.Until(deadline)/time.Duration(peers))
}

// peersToQuery returns the addresses to query, at most maxPeersQueried: hosts of the
// local data centre first, because data centres may be partitioned from each other,
// but at least one place is left for a host elsewhere. Seeds are used only if no
// host is known.
func peersToQuery(dataCentre, self string, hosts []routing.Host, seeds []string) []string {
	local, remote := shuffleByDataCentre(dataCentre, self, hosts)
	if len(local)+len(remote) == 0 {
		for _, seed := range seeds {
			if seed != self {
				remote = append(remote, seed)
			}
		}
	}
	all := append(local[:min(len(local), maxPeersQueried-1)], remote...)
	return all[:min(len(all), maxPeersQueried)]
}

// shuffleByDataCentre returns the addresses of the other hosts of the data centre
// and of those elsewhere, each in random order.
func shuffleByDataCentre(dataCentre, self string, hosts []routing.Host) (local, remote []string) {
	for _, i := range rand.Perm(len(hosts)) {
		host := hosts[i]
		switch {
		case host.Address == self:
		case host.DataCentre == dataCentre:
			local = append(local, host.Address)
		default:
			remote = append(remote, host.Address)
		}
	}
	return local, remote
}

// BudgetBorrower asks other entry hosts to pay for retries. It implements
// dispatch.BudgetBorrower.
type BudgetBorrower struct {
	// DataCentre is this host's data centre, Self its address among its peers.
	DataCentre string
	Self       string
}

// Borrow implements dispatch.BudgetBorrower. It asks mostly hosts of other data
// centres: those of this one are nearer, but a loss of servers here may have spent
// the budgets of all of them.
func (b BudgetBorrower) Borrow(ctx context.Context, hosts []routing.Host, service string) (bool, error) {
	var failures []error
	for _, address := range lendersToQuery(b.DataCentre, b.Self, hosts) {
		granted, err := requestLoan(ctx, address, service)
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", address, err))
		}
		if granted {
			return true, errors.Join(failures...)
		}
	}
	return false, errors.Join(failures...)
}

// requestLoan asks one host to pay for one retry.
func requestLoan(ctx context.Context, address, service string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	var granted bool
	err := call(ctx, address, budgetService+".Lend", service, &granted)
	return err == nil && granted, err
}

// lendersToQuery returns the hosts to ask: one of the local data centre, which stays
// reachable during a partition between data centres, and then hosts of others.
func lendersToQuery(dataCentre, self string, hosts []routing.Host) []string {
	local, remote := shuffleByDataCentre(dataCentre, self, hosts)
	all := append(local[:min(len(local), 1)], remote...)
	return all[:min(len(all), maxLendersQueried)]
}

// call makes one call to a host on a new connection, because an open connection may
// have become unresponsive unnoticed.
func call(ctx context.Context, address, method string, arguments, answer any) error {
	dialer := net.Dialer{Timeout: callTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		_ = conn.Close()
		return Error.Wrap(err)
	}
	client := rpc.NewClient(&boundedConn{Conn: conn, remaining: maxPeerBytes})
	defer func() { _ = client.Close() }()
	return Error.Wrap(client.Call(method, arguments, answer))
}
