// Package peering lets entry hosts read each other's copies of the store's
// tables by net/rpc, for times when the store serves only some of them.
package peering

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"github.com/zeebo/errs"

	"github.com/lentilpoint/lentilpoint/entryhost/relay/mirror"
	"github.com/lentilpoint/lentilpoint/entryhost/relay/routing"
	"github.com/lentilpoint/lentilpoint/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("peering")

const (
	serviceName = "Copies"
	// callTimeout bounds the question to one peer, at most 3 ms away.
	callTimeout = 200 * time.Millisecond
	// peersAsked is the number of peers that one round asks.
	peersAsked = 3
)

// Query names a table and the version that the asking host has.
type Query struct {
	Table string
	After uint64
}

// Copies is the net/rpc service.
type Copies struct {
	followers map[string]task.Mailbox[mirror.Current]
}

// Fetch returns the copy of a table, without rows if it is not newer.
func (c *Copies) Fetch(query Query, reply *mirror.Snapshot) error {
	mailbox, found := c.followers[query.Table]
	if !found {
		return Error.New("table %q is not followed here", query.Table)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	snapshot, err := task.Call(ctx, mailbox, func(reply task.Reply[mirror.Snapshot]) mirror.Current {
		return mirror.Current{Reply: reply}
	})
	if err != nil {
		return err
	}
	*reply = mirror.Snapshot{Table: snapshot.Table, Version: snapshot.Version}
	if snapshot.Version > query.After {
		reply.Rows = snapshot.Rows
	}
	return nil
}

// Listener is the task that owns the socket for other entry hosts.
type Listener struct {
	socket    task.Socket
	followers map[string]task.Mailbox[mirror.Current]
}

// NewListener serves the followers' copies, by table, on a bound socket.
func NewListener(listener net.Listener, followers map[string]task.Mailbox[mirror.Current]) *Listener {
	return &Listener{socket: task.NewSocket(listener), followers: followers}
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
	if err := server.RegisterName(serviceName, &Copies{followers: l.followers}); err != nil {
		return Error.Wrap(err)
	}
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
		if err := conn.SetDeadline(time.Now().Add(10 * callTimeout)); err != nil {
			_ = conn.Close()
			continue
		}
		go server.ServeConn(conn)
	}
}

// Peers asks other entry hosts for their copies. It implements mirror.Peers.
type Peers struct {
	// Zone and Self are those of this host.
	Zone string
	Self string
	// Seeds are addresses from the settings, used while no host is known.
	Seeds []string
	// Hosts returns the known entry hosts.
	Hosts func(ctx context.Context) []routing.Host
}

// FetchNewer implements mirror.Peers.
func (p *Peers) FetchNewer(ctx context.Context, table string, after uint64) (mirror.Snapshot, error) {
	var newest mirror.Snapshot
	err := Error.New("no other entry host is known")
	for _, address := range targets(p.Zone, p.Self, p.Hosts(ctx), p.Seeds) {
		snapshot, failure := fetch(ctx, address, Query{Table: table, After: after})
		if failure != nil {
			err = failure
			continue
		}
		if snapshot.Version > after {
			return snapshot, nil
		}
		newest, err = snapshot, nil
	}
	return newest, err
}

// targets returns the peers to ask: one of the own zone first, since zones may
// be cut off from each other, then others.
func targets(zone, self string, hosts []routing.Host, seeds []string) []string {
	var near, far []string
	for _, host := range hosts {
		switch {
		case host.Address == self:
		case host.Zone == zone:
			near = append(near, host.Address)
		default:
			far = append(far, host.Address)
		}
	}
	if len(near)+len(far) == 0 {
		for _, seed := range seeds {
			if seed != self {
				far = append(far, seed)
			}
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := append(near[:min(len(near), peersAsked-1)], far...)
	return all[:min(len(all), peersAsked)]
}

func fetch(ctx context.Context, address string, query Query) (mirror.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return mirror.Snapshot{}, Error.Wrap(err)
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return mirror.Snapshot{}, Error.Wrap(err)
	}
	client := rpc.NewClient(conn)
	defer func() { _ = client.Close() }()
	var snapshot mirror.Snapshot
	return snapshot, Error.Wrap(client.Call(serviceName+".Fetch", query, &snapshot))
}
