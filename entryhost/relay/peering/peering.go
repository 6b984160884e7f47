// Package peering lets entry hosts read each other's copies of the store's
// tables by net/rpc, for times when the store serves only some of them, and
// borrow from each other's retry budgets.
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

	"github.com/lentilpoint/lentilpoint/entryhost/relay/dispatch"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/suspects"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("peering")

const (
	serviceName   = "Copies"
	budgetService = "Budget"
	suspectsName  = "Suspects"
	// callTimeout bounds the question to one peer, at most 3 ms away.
	callTimeout = 200 * time.Millisecond
	// longestWait bounds how long an answer is held.
	longestWait = 2 * time.Second
	// peersAsked is the number of peers that one round asks.
	peersAsked = 3
	// lendersAsked is the number of hosts that are asked for one repeat, and
	// lendTimeout the time for each; a host answers within 3 ms.
	lendersAsked = 4
	lendTimeout  = 25 * time.Millisecond
)

// Copies is the net/rpc service.
type Copies struct {
	followers map[string]task.Mailbox[mirror.Question]
}

// Changes returns what this host knows of a table after a version. It holds the
// answer until there is a change, for as long as the query says.
func (c *Copies) Changes(query mirror.Query, answer *mirror.Answer) error {
	mailbox, found := c.followers[query.Table]
	if !found {
		return Error.New("table %q is not followed here", query.Table)
	}
	query.Wait = min(query.Wait, longestWait)
	ctx, cancel := context.WithTimeout(context.Background(), query.Wait+callTimeout)
	defer cancel()
	got, err := task.Call(ctx, mailbox, func(reply task.Reply[mirror.Answer]) mirror.Question {
		return mirror.Question{Query: query, Reply: reply}
	})
	*answer = got
	return err
}

// Budget is the net/rpc service that pays for repeats of other hosts.
type Budget struct {
	dispatcher task.Mailbox[dispatch.Message]
}

// Lend reports whether this host's budget of the service pays for one repeat.
func (b *Budget) Lend(service string, granted *bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	got, err := task.Call(ctx, b.dispatcher, func(reply task.Reply[bool]) dispatch.Message {
		return dispatch.LendRetry{Service: service, Reply: reply}
	})
	*granted = got
	return err
}

// Listener is the task that owns the socket for other entry hosts.
type Listener struct {
	socket     task.Socket
	followers  map[string]task.Mailbox[mirror.Question]
	dispatcher task.Mailbox[dispatch.Message]
	suspects   task.Mailbox[suspects.Message]
}

// NewListener serves the followers' copies, by table, the dispatcher's budget and
// what peers tell of suspects on a bound socket.
func NewListener(listener net.Listener, followers map[string]task.Mailbox[mirror.Question], dispatcher task.Mailbox[dispatch.Message], told task.Mailbox[suspects.Message]) *Listener {
	return &Listener{socket: task.NewSocket(listener), followers: followers, dispatcher: dispatcher, suspects: told}
}

// String names the task in the logs.
func (l *Listener) String() string { return "peering" }

// Serve accepts peers until the context ends. Each connection serves one
// question and is closed by the peer.
func (l *Listener) Serve(ctx context.Context) error {
	listener, err := l.socket.Take()
	if err != nil {
		return Error.Wrap(err)
	}
	release := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer release()
	server := rpc.NewServer()
	for name, service := range map[string]any{
		serviceName: &Copies{followers: l.followers}, budgetService: &Budget{dispatcher: l.dispatcher}, suspectsName: &Suspects{mailbox: l.suspects},
	} {
		if err := server.RegisterName(name, service); err != nil {
			return Error.Wrap(err)
		}
	}
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if err := conn.SetDeadline(time.Now().Add(longestWait + 2*callTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go server.ServeConn(conn)
	}
}

// Peers asks other entry hosts for their copies. It implements mirror.Peers.
type Peers struct {
	// DataCentre and Self are those of this host.
	DataCentre string
	Self       string
	// Seeds are addresses from the settings, used while no host is known.
	Seeds []string
	// Hosts returns the known entry hosts.
	Hosts func(ctx context.Context) []routing.Host
}

// Reader implements mirror.Peers. The host with the highest rendezvous hash of
// the data centre reads the store for the data centre.
func (p *Peers) Reader(ctx context.Context, avoid map[string]time.Time) string {
	reader, highest := "", routing.RendezvousWeight(p.Self, p.DataCentre)
	for _, host := range p.Hosts(ctx) {
		if _, avoided := avoid[host.Address]; avoided || host.DataCentre != p.DataCentre || host.Address == p.Self {
			continue
		}
		if weight := routing.RendezvousWeight(host.Address, p.DataCentre); weight > highest {
			reader, highest = host.Address, weight
		}
	}
	return reader
}

// Ask implements mirror.Peers.
func (p *Peers) Ask(ctx context.Context, host string, query mirror.Query) (mirror.Answer, error) {
	return fetch(ctx, host, query)
}

// AskAny implements mirror.Peers.
func (p *Peers) AskAny(ctx context.Context, query mirror.Query) (mirror.Answer, error) {
	var newest mirror.Answer
	err := Error.New("no other entry host is known")
	addresses := targets(p.DataCentre, p.Self, p.Hosts(ctx), p.Seeds)
	for i, address := range addresses {
		// Each peer gets its part of the time that is left.
		callContext, cancel := context.WithTimeout(ctx, share(ctx, len(addresses)-i))
		answer, failure := fetch(callContext, address, query)
		cancel()
		if failure != nil {
			err = failure
			continue
		}
		if answer.Changes.Version > query.After {
			return answer, nil
		}
		newest, err = answer, nil
	}
	return newest, err
}

// share returns the time for the next of so many peers.
func share(ctx context.Context, peers int) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return callTimeout
	}
	return max(callTimeout, time.Until(deadline)/time.Duration(peers))
}

// targets returns the peers to ask: one of the own data centre first, since data centres may
// be cut off from each other, then others.
func targets(dataCentre, self string, hosts []routing.Host, seeds []string) []string {
	near, far := split(dataCentre, self, hosts)
	if len(near)+len(far) == 0 {
		for _, seed := range seeds {
			if seed != self {
				far = append(far, seed)
			}
		}
	}
	all := append(near[:min(len(near), peersAsked-1)], far...)
	return all[:min(len(all), peersAsked)]
}

// split returns the other hosts of the data centre and those elsewhere, each in
// a random order.
func split(dataCentre, self string, hosts []routing.Host) (near, far []string) {
	for _, i := range rand.Perm(len(hosts)) {
		host := hosts[i]
		switch {
		case host.Address == self:
		case host.DataCentre == dataCentre:
			near = append(near, host.Address)
		default:
			far = append(far, host.Address)
		}
	}
	return near, far
}

// fetch puts one query to a host.
func fetch(ctx context.Context, address string, query mirror.Query) (mirror.Answer, error) {
	var answer mirror.Answer
	return answer, call(ctx, address, serviceName+".Changes", query, &answer)
}

// Borrower asks other entry hosts to pay for repeats. It implements
// dispatch.Lender.
type Borrower struct {
	// DataCentre and Self are those of this host.
	DataCentre string
	Self       string
}

// Borrow implements dispatch.Lender. Hosts of the own data centre are nearer, but
// those of others may still have what a loss in this one has used up here.
func (b Borrower) Borrow(ctx context.Context, hosts []routing.Host, service string) (bool, error) {
	var silent []error
	for _, address := range lenders(b.DataCentre, b.Self, hosts) {
		granted, err := lent(ctx, address, service)
		if err != nil {
			silent = append(silent, fmt.Errorf("%s: %w", address, err))
		}
		if granted {
			return true, errors.Join(silent...)
		}
	}
	return false, errors.Join(silent...)
}

// lent asks one host.
func lent(ctx context.Context, address, service string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	var granted bool
	err := call(ctx, address, budgetService+".Lend", service, &granted)
	return err == nil && granted, err
}

// lenders returns the hosts to ask: one of the own data centre, which answers
// also behind a cut, and then hosts of others.
func lenders(dataCentre, self string, hosts []routing.Host) []string {
	near, far := split(dataCentre, self, hosts)
	all := append(near[:min(len(near), 1)], far...)
	return all[:min(len(all), lendersAsked)]
}

// call makes one call to a host on a connection of its own, since an open one
// may go silent unnoticed.
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
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	return Error.Wrap(client.Call(method, arguments, answer))
}
