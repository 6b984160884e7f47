package standin

import (
	"io"
	"net"
	"sync/atomic"
)

// Relay passes TCP connections on to an address, and can partition its clients
// from it: bytes are then dropped without a reset, also those of new connections.
type Relay struct {
	listener    net.Listener
	target      string
	partitioned atomic.Bool
}

// StartRelay starts a relay to the address on a loopback address.
func StartRelay(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := &Relay{listener: listener, target: target}
	go r.accept()
	return r, nil
}

// Address returns the address that clients use in place of the target's.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Partition starts or ends the partition.
func (r *Relay) Partition(partitioned bool) { r.partitioned.Store(partitioned) }

// Close ends the relay; open connections end with their peers.
func (r *Relay) Close() { _ = r.listener.Close() }

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(client)
	}
}

func (r *Relay) pass(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	// A connection that lost bytes stays silent after the partition.
	var broken atomic.Bool
	go r.copy(server, client, &broken)
	r.copy(client, server, &broken)
}

// copy passes bytes on until one side closes.
func (r *Relay) copy(to io.WriteCloser, from io.ReadCloser, broken *atomic.Bool) {
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
