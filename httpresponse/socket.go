package httpresponse

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// peerState is what a socket knows of the other side of its connection.
type peerState struct {
	// ended is set if the peer has ended its side, even if bytes that it sent before are still
	// to be read.
	ended bool
	// sent is the number of bytes that have arrived from the peer.
	sent uint64
}

// examinePeer returns the state of the peer of a connection, which is empty if the connection
// is not one of TCP.
func examinePeer(conn net.Conn) (peerState, error) {
	socket, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return peerState{}, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return peerState{}, Error.Wrap(err)
	}
	var state peerState
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = peerState{ended: info.State != unix.BPF_TCP_ESTABLISHED, sent: info.Bytes_received}
		}
	})
	return state, Error.Wrap(errors.Join(err, infoErr))
}
