package task

import "net"

// Socket is the listening socket of one task. The task takes the bound listener
// each time it serves; after a failure the same address is bound again.
type Socket struct {
	address  string
	listener net.Listener
}

// NewSocket returns the socket of a bound listener, or of none if it is nil.
func NewSocket(listener net.Listener) Socket {
	if listener == nil {
		return Socket{}
	}
	return Socket{address: listener.Addr().String(), listener: listener}
}

// Address returns the bound address, or "" if the socket is off.
func (s *Socket) Address() string { return s.address }

// Take returns a listener that the task then owns.
func (s *Socket) Take() (net.Listener, error) {
	if listener := s.listener; listener != nil {
		s.listener = nil
		return listener, nil
	}
	listener, err := net.Listen("tcp", s.address)
	return listener, Error.Wrap(err)
}
