package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, it resets them.
type proxy struct {
	to       string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(ip, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{to: to, listener: listener, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// track adds or removes a connection. It reports whether the proxy is not cut.
func (p *proxy) track(conn net.Conn, open bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open && !p.cut {
		p.conns[conn] = true
	} else {
		delete(p.conns, conn)
	}
	return !p.cut
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(from)
	}
}

func (p *proxy) forward(from net.Conn) {
	if !p.track(from, true) {
		reset(from)
		return
	}
	defer p.track(from, false)
	defer from.Close()
	to, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer to.Close()
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		io.Copy(to, from)
		ended <- struct{}{}
	}
	go pass(to, from)
	go pass(from, to)
	<-ended
}
