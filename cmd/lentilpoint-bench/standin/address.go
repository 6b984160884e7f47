package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// Addresses for programs that bind them later lie below the ports that the
// kernel gives to outgoing connections. A connection may otherwise take the
// port between the choice and the start of the program.
const (
	firstPort = 12000
	lastPort  = 32000
	// portTries bounds the search for a port that nobody listens on.
	portTries = 100
)

// nextPort steps through the ports from a random one, so that a process never
// hands out the same port twice and processes rarely meet.
var nextPort = func() *atomic.Uint32 {
	next := &atomic.Uint32{}
	next.Store(rand.Uint32N(lastPort - firstPort))
	return next
}()

// FreeAddress returns a loopback address that nobody listens on, for a program
// that is started with it.
func FreeAddress() (string, error) {
	for range portTries {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, Error.Wrap(listener.Close())
		}
	}
	return "", Error.New("no free port between %d and %d; end programs that listen there", firstPort, lastPort)
}
