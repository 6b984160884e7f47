// Package closedport reserves addresses that refuse connections, for tests of clients whose
// server is gone. The port of a closed listener refuses them only until another process or test
// is given the same port.
package closedport

import (
	"errors"
	"net"
	"strconv"
	"syscall"
)

const host = "127.0.0.1"

// Reserve returns an address that refuses connections until release is called.
func Reserve() (address string, release func() error, err error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return "", nil, err
	}
	release = func() error { return syscall.Close(socket) }
	// The socket is bound and does not listen.
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", nil, errors.Join(err, release())
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return "", nil, errors.Join(err, release())
	}
	return net.JoinHostPort(host, strconv.Itoa(bound.(*syscall.SockaddrInet4).Port)), release, nil
}
