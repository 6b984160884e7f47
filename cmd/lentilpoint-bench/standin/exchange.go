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

// exchangeMailboxSize is the capacity of the exchange's mailbox, in messages.
const exchangeMailboxSize = 1024

// Exchange stands in for the links between entry hosts. Calls are made by net/rpc over
// in-memory connections, so that arguments are encoded as on a network.
type Exchange struct {
	messages task.Mailbox[func(*Exchange)]
	random   *rand.Rand

	hosts map[model.HostID]*exchangeHost
	// delay is the limit of the random delay of each call.
	delay time.Duration
}

type exchangeHost struct {
	member peers.Member
	server *rpc.Server
}

// StartExchange starts an exchange that runs until the context ends. The seed
// determines the delays of calls.
func StartExchange(ctx context.Context, seed uint64) *Exchange {
	x := &Exchange{
		messages: task.NewMailbox[func(*Exchange)](exchangeMailboxSize),
		random:   rand.New(rand.NewPCG(seed, 3)),
		hosts:    make(map[model.HostID]*exchangeHost),
	}
	go x.serve(ctx)
	return x
}

func (x *Exchange) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-x.messages.C():
			message(x)
		}
	}
}

// callExchange runs a function in the task of the exchange and returns its result, or
// the zero value after callTimeout.
func callExchange[R any](x *Exchange, run func(*Exchange) R) R {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, _ := task.Call(ctx, x.messages, func(reply task.Reply[R]) func(*Exchange) {
		return func(x *Exchange) { reply.Send(run(x)) }
	})
	return result
}

// SetDelay delays each call by a random time up to the limit, so that calls may be
// reordered.
func (x *Exchange) SetDelay(limit time.Duration) {
	callExchange(x, func(x *Exchange) bool { x.delay = limit; return true })
}

// Join adds a host until the context ends and handles the messages to its membership
// task.
func (x *Exchange) Join(ctx context.Context, member peers.Member, messages task.Mailbox[peers.Message], receivers ...peers.Receiver) error {
	server := rpc.NewServer()
	for _, receiver := range receivers {
		if err := server.RegisterName(receiver.Name, receiver.Object); err != nil {
			return Error.Wrap(err)
		}
	}
	member.Alive = true
	host := &exchangeHost{member: member, server: server}
	callExchange(x, func(x *Exchange) bool { x.hosts[member.ID] = host; return true })
	go x.serveMembership(ctx, member.ID, host, messages)
	return nil
}

func (x *Exchange) serveMembership(ctx context.Context, self model.HostID, host *exchangeHost, messages task.Mailbox[peers.Message]) {
	defer callExchange(x, func(x *Exchange) bool {
		if x.hosts[self] == host {
			delete(x.hosts, self)
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
				message.Reply.Send(x.members(self))
			case peers.Invoke:
				go x.invoke(message)
			}
		}
	}
}

func (x *Exchange) members(self model.HostID) []peers.Member {
	return callExchange(x, func(x *Exchange) []peers.Member {
		members := make([]peers.Member, 0, len(x.hosts))
		for id, host := range x.hosts {
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

func (x *Exchange) invoke(call peers.Invoke) {
	target := callExchange(x, func(x *Exchange) callTarget {
		host := x.hosts[call.Host]
		if host == nil {
			return callTarget{}
		}
		return callTarget{server: host.server, delay: time.Duration(x.random.Int64N(int64(x.delay) + 1))}
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
