package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes the connections of one machine on to an address. While it is cut, nothing
// passes, and nothing is reset. A connection that is made while it is cut stays silent, as one
// whose opening packet is lost does until it is sent again seconds later.
type proxy struct {
	listener net.Listener
	to       string

	mu   sync.Mutex
	cut  bool
	cond *sync.Cond
}

func newProxy(address, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// pass waits until the way is open.
func (p *proxy) pass() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	if p.isCut() {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	far, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	defer far.Close()
	go func() {
		p.copy(far, conn)
		_ = far.(*net.TCPConn).CloseWrite()
	}()
	p.copy(conn, far)
}

func (p *proxy) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
