package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// linkMode is what a proxy does to the connections through it.
type linkMode int32

// The modes of a link.
const (
	linkOpen linkMode = iota
	// linkSlow delays each piece.
	linkSlow
	// linkReset closes connections with a reset and refuses new ones so.
	linkReset
	// linkSilent passes nothing on in either direction, and says nothing.
	linkSilent
	// linkOneWay passes requests on and no answers.
	linkOneWay
)

var linkModes = []linkMode{linkSlow, linkReset, linkSilent, linkOneWay}

const (
	// slowDelay is the delay of each piece on a slow link.
	slowDelay = 30 * time.Millisecond
	// silentLook is how often a silent link looks whether it is open again.
	silentLook = 10 * time.Millisecond
)

// link is a TCP proxy on loopback. Each connection through it is two tasks, one
// for each direction; they read the mode and share nothing else.
type link struct {
	address string
	target  string
	mode    atomic.Int32
}

func newLink(ctx context.Context, target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	l := &link{address: listener.Addr().String(), target: target}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go l.serve(ctx, listener)
	return l, nil
}

func (l *link) set(mode linkMode) { l.mode.Store(int32(mode)) }

func (l *link) now() linkMode { return linkMode(l.mode.Load()) }

func (l *link) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.carry(ctx, conn.(*net.TCPConn))
	}
}

// carry joins a connection to the target. The target's end is passed on.
func (l *link) carry(ctx context.Context, near *net.TCPConn) {
	defer func() { _ = near.Close() }()
	dialed, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil || l.now() == linkReset {
		_ = near.SetLinger(0)
		return
	}
	far := dialed.(*net.TCPConn)
	defer func() { _ = far.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = near.Close(); _ = far.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { l.pump(ctx, far, near, false); done <- struct{}{} }()
	go func() { l.pump(ctx, near, far, true); done <- struct{}{} }()
	<-done
	if l.now() == linkReset {
		_ = near.SetLinger(0)
	}
}

func (l *link) pump(ctx context.Context, to, from *net.TCPConn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if !l.pass(ctx, answers) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && answers {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// pass waits as the mode asks, and reports whether the piece goes on.
func (l *link) pass(ctx context.Context, answers bool) bool {
	for {
		switch l.now() {
		case linkReset:
			return false
		case linkSlow:
			time.Sleep(slowDelay)
			return true
		case linkOneWay:
			if !answers {
				return true
			}
		case linkOpen:
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(silentLook):
		}
	}
}

func randomMode(random *rand.Rand) linkMode { return linkModes[random.IntN(len(linkModes))] }
