package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"github.com/lentilpoint/lentilpoint/entryhost/peers"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/task"
)

// networkMailboxSize is the capacity of the network's mailbox, in messages.
const networkMailboxSize = 1024

// PeerNetwork stands in for the network between entry hosts. Calls are made by net/rpc
// over in-memory connections, so that arguments are encoded as on a real network.
type PeerNetwork struct {
	messages task.Mailbox[func(*PeerNetwork)]
	random   *rand.Rand

	hosts map[model.HostID]*networkHost
	// delay is the limit of the random delay of each call.
	delay time.Duration
}

type networkHost struct {
	member peers.Member
	server *rpc.Server
}

// StartPeerNetwork starts a network that runs until the context ends. The seed
// determines the delays of calls.
func StartPeerNetwork(ctx context.Context, seed uint64) *PeerNetwork {
	n := &PeerNetwork{
		messages: task.NewMailbox[func(*PeerNetwork)](networkMailboxSize),
		random:   rand.New(rand.NewPCG(seed, 3)),
		hosts:    make(map[model.HostID]*networkHost),
	}
	go n.serve(ctx)
	return n
}

func (n *PeerNetwork) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-n.messages.C():
			message(n)
		}
	}
}

// callNetwork runs a function in the task of the network and returns its result, or
// the zero value after callTimeout.
func callNetwork[R any](n *PeerNetwork, run func(*PeerNetwork) R) R {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, _ := task.Call(ctx, n.messages, func(reply task.Reply[R]) func(*PeerNetwork) {
		return func(n *PeerNetwork) { reply.Send(run(n)) }
	})
	return result
}

// SetDelay delays each call by a random time up to the limit, so that calls may be
// reordered.
func (n *PeerNetwork) SetDelay(limit time.Duration) {
	callNetwork(n, func(n *PeerNetwork) bool { n.delay = limit; return true })
}

// Join adds a host until the context ends and handles the messages to its membership
// task.
func (n *PeerNetwork) Join(ctx context.Context, member peers.Member, messages task.Mailbox[peers.Message], receivers ...peers.Receiver) error {
	server := rpc.NewServer()
	for _, receiver := range receivers {
		if err := server.RegisterName(receiver.Name, receiver.Object); err != nil {
			return Error.Wrap(err)
		}
	}
	member.Alive = true
	host := &networkHost{member: member, server: server}
	callNetwork(n, func(n *PeerNetwork) bool { n.hosts[member.ID] = host; return true })
	go n.serveMembership(ctx, member.ID, host, messages)
	return nil
}

func (n *PeerNetwork) serveMembership(ctx context.Context, self model.HostID, host *networkHost, messages task.Mailbox[peers.Message]) {
	defer callNetwork(n, func(n *PeerNetwork) bool {
		if n.hosts[self] == host {
			delete(n.hosts, self)
		}
		return true
	})
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-messages.C():
			switch message := message.(type) {
			case peers.Members:
				message.Reply.Send(n.members(self))
			case peers.Invoke:
				go n.invoke(message)
			}
		}
	}
}

func (n *PeerNetwork) members(self model.HostID) []peers.Member {
	return callNetwork(n, func(n *PeerNetwork) []peers.Member {
		members := make([]peers.Member, 0, len(n.hosts))
		for id, host := range n.hosts {
			if id != self {
				members = append(members, host.member)
			}
		}
		return members
	})
}

// callTarget is the host to call and the delay before the call.
type callTarget struct {
	server *rpc.Server
	delay  time.Duration
}

func (n *PeerNetwork) invoke(call peers.Invoke) {
	target := callNetwork(n, func(n *PeerNetwork) callTarget {
		host := n.hosts[call.Host]
		if host == nil {
			return callTarget{}
		}
		return callTarget{server: host.server, delay: time.Duration(n.random.Int64N(int64(n.delay) + 1))}
	})
	if target.server == nil {
		call.Reply.Send(peers.ErrUnreachable.New("%s is not a member", call.Host))
		return
	}
	select {
	case <-call.Context.Done():
		call.Reply.Send(peers.ErrUnreachable.Wrap(context.Cause(call.Context)))
		return
	case <-time.After(target.delay):
	}
	clientConn, serverConn := net.Pipe()
	go target.server.ServeConn(serverConn)
	client := rpc.NewClient(clientConn)
	done := client.Go(call.Method, call.Arguments, call.Result, make(chan *rpc.Call, 1)).Done
	select {
	case <-call.Context.Done():
		call.Reply.Send(peers.ErrUnreachable.Wrap(context.Cause(call.Context)))
	case finished := <-done:
		call.Reply.Send(finished.Error)
	}
	_ = client.Close()
}
