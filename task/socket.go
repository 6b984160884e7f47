package task

import "net"

// Socket is the listening socket of one task. The task takes a listener from it
// each time it serves: first the one that was bound at the start, and after a
// failure a new one on the same address.
type Socket struct {
	address  string
	listener net.Listener
}

// NewSocket returns the socket of a bound listener. With a nil listener the socket
// is off.
func NewSocket(listener net.Listener) Socket {
	if listener == nil {
		return Socket{}
	}
	return Socket{address: listener.Addr().String(), listener: listener}
}

// Address returns the bound address, or "" if the socket is off.
func (s *Socket) Address() string { return s.address }

// Take returns a listener, which the caller then owns and closes.
func (s *Socket) Take() (net.Listener, error) {
	if listener := s.listener; listener != nil {
		s.listener = nil
		return listener, nil
	}
	listener, err := net.Listen("tcp", s.address)
	return listener, Error.Wrap(err)
}
