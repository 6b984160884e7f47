package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// linkMode is the way in which a link treats its connections.
type linkMode int32

// The modes of a link.
const (
	// linkOpen forwards everything.
	linkOpen linkMode = iota
	// linkSlow delays each piece of data by slowDelay.
	linkSlow
	// linkReset closes open and new connections with a TCP reset.
	linkReset
	// linkSilent forwards nothing in either direction and keeps connections open.
	linkSilent
	// linkOneWay forwards requests but no answers.
	linkOneWay
)

// linkModes are the modes that a fault may set.
var linkModes = []linkMode{linkSlow, linkReset, linkSilent, linkOneWay}

const (
	// slowDelay is the delay of each piece of data on a slow link.
	slowDelay = 30 * time.Millisecond
	// modePollInterval is the time between reads of the mode while a link forwards
	// nothing.
	modePollInterval = 10 * time.Millisecond
)

// link is a TCP proxy on loopback. Each connection has two tasks, one for each
// direction; they share only the mode.
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

func (l *link) setMode(mode linkMode) { l.mode.Store(int32(mode)) }

func (l *link) currentMode() linkMode { return linkMode(l.mode.Load()) }

func (l *link) serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxyConnection(ctx, conn.(*net.TCPConn))
	}
}

// proxyConnection connects a client to the target and copies data in both directions
// until one of them ends. It forwards the end of the target's data to the client.
func (l *link) proxyConnection(ctx context.Context, clientConn *net.TCPConn) {
	defer func() { _ = clientConn.Close() }()
	dialledConn, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil || l.currentMode() == linkReset {
		_ = clientConn.SetLinger(0)
		return
	}
	targetConn := dialledConn.(*net.TCPConn)
	defer func() { _ = targetConn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = clientConn.Close(); _ = targetConn.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go func() { l.copyDirection(ctx, targetConn, clientConn, false); done <- struct{}{} }()
	go func() { l.copyDirection(ctx, clientConn, targetConn, true); done <- struct{}{} }()
	<-done
	if l.currentMode() == linkReset {
		_ = clientConn.SetLinger(0)
	}
}

// copyDirection forwards data until a connection fails or ends, or the link is reset.
func (l *link) copyDirection(ctx context.Context, to, from *net.TCPConn, isResponse bool) {
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if !l.waitToForward(ctx, isResponse) {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && isResponse {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// waitToForward waits until the mode allows a piece of data to be forwarded. It returns
// false if the piece must be dropped with the connection.
func (l *link) waitToForward(ctx context.Context, isResponse bool) bool {
	for {
		switch l.currentMode() {
		case linkReset:
			return false
		case linkSlow:
			time.Sleep(slowDelay)
			return true
		case linkOneWay:
			if !isResponse {
				return true
			}
		case linkOpen:
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(modePollInterval):
		}
	}
}

func randomMode(random *rand.Rand) linkMode { return linkModes[random.IntN(len(linkModes))] }
