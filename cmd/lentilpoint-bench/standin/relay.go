package standin

import (
	"io"
	"net"
	"sync/atomic"
)

// Relay forwards TCP connections to an address. During a partition it discards all
// data without a reset, also on new connections.
type Relay struct {
	listener    net.Listener
	target      string
	partitioned atomic.Bool
}

// StartRelay starts a relay to the target on a loopback address.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: listener, target: target}
	go r.accept()
	return r, nil
}

// Address returns the address that clients use instead of the target's.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Partition starts a partition if the argument is true, and ends it otherwise.
func (r *Relay) Partition(partitioned bool) { r.partitioned.Store(partitioned) }

// Close stops accepting connections. Open ones are forwarded until a peer closes them.
func (r *Relay) Close() { _ = r.listener.Close() }

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

func (r *Relay) forward(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	// A connection that has lost data discards everything after the partition too.
	var broken atomic.Bool
	go r.copyBytes(server, client, &broken)
	r.copyBytes(client, server, &broken)
}

// copyBytes forwards data in one direction until a peer closes its connection. It sets
// broken if it reads during a partition.
func (r *Relay) copyBytes(to io.WriteCloser, from io.ReadCloser, broken *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if r.partitioned.Load() {
			broken.Store(true)
		}
		if n > 0 && !broken.Load() {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
