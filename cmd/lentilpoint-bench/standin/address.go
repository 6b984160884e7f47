package standin

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
)

// The range of ports for FreeAddress, without lastPort. It lies below the kernel's
// ephemeral ports; otherwise an outgoing connection could take a port before the
// program that it was chosen for binds it.
const (
	firstPort = 12000
	lastPort  = 32000
	// maxPortAttempts limits how many ports one call of FreeAddress tries.
	maxPortAttempts = 100
)

// nextPortOffset counts the ports tried and so gives the offset of the next one. It
// starts at random and counts up, so that a process does not return the same port
// twice and processes rarely choose the same ports.
var nextPortOffset = func() *atomic.Uint32 {
	offset := &atomic.Uint32{}
	offset.Store(rand.Uint32N(lastPort - firstPort))
	return offset
}()

// FreeAddress returns a loopback address on which nothing listens, for a program that
// is started afterwards. The port is not reserved.
func FreeAddress() (string, error) { return FreeAddressAt("127.0.0.1") }

// FreeAddressAt does the same for the IP address. Programs that listen at different
// addresses of 127.0.0.0/8 cannot take each other's ports.
func FreeAddressAt(ip string) (string, error) {
	for range maxPortAttempts {
		port := firstPort + nextPortOffset.Add(1)%(lastPort-firstPort)
		address := net.JoinHostPort(ip, strconv.Itoa(int(port)))
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, Error.Wrap(listener.Close())
		}
	}
	return "", Error.New("no free port found between %d and %d; stop programs that listen there", firstPort, lastPort)
}
