package main

import (
	"net"
	"sync"
)

// proxy forwards connections to one address. While it is cut no byte passes in either
// direction, on old connections and on new ones, as behind a partition; what waits passes
// when the cut heals.
type proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	healed   *sync.Cond
	isCut    bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target}
	p.healed = sync.NewCond(&p.mutex)
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setCut(isCut bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.isCut = isCut
	p.healed.Broadcast()
}

func (p *proxy) awaitPath() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

func (p *proxy) serve() {
	for {
		incoming, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			p.awaitPath()
			outgoing, err := net.Dial("tcp", p.target)
			if err != nil {
				_ = incoming.Close()
				return
			}
			go p.copy(outgoing, incoming)
			p.copy(incoming, outgoing)
		}()
	}
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		p.awaitPath()
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
