//go:build scenarios

package scenarios

import (
	"net"
	"sync"
	"testing"
	"time"
)

// impairment describes how a link disturbs its connections.
type impairment struct {
	delay    time.Duration // before each chunk of data is forwarded
	holdTo   bool          // no data passes to the target address
	holdFrom bool          // no data passes from the target address
	reset    bool          // all connections, also new ones, are reset
}

// soakLink forwards TCP connections to an address and impairs them on request.
type soakLink struct {
	listener net.Listener
	address  string

	mu         sync.Mutex
	impairment impairment
	changed    chan struct{} // closed at the next change of impairment
	conns      map[net.Conn]bool
}

func newSoakLink(t *testing.T, address string) *soakLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newSoakLinkAt(t, listener, address)
}

func newSoakLinkAt(t *testing.T, listener net.Listener, address string) *soakLink {
	l := &soakLink{listener: listener, address: address, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go l.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		l.set(impairment{reset: true})
	})
	return l
}

func (l *soakLink) listenAddress() string { return l.listener.Addr().String() }

func (l *soakLink) set(next impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.impairment = next
	close(l.changed)
	l.changed = make(chan struct{})
	if next.reset {
		for conn := range l.conns {
			resetConn(conn)
		}
	}
}

func (l *soakLink) current() (impairment, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.impairment, l.changed
}

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (l *soakLink) accept() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(from)
	}
}

func (l *soakLink) track(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
	} else {
		delete(l.conns, conn)
	}
}

func (l *soakLink) forward(from net.Conn) {
	l.track(from, true)
	defer l.track(from, false)
	defer func() { _ = from.Close() }()
	if state, _ := l.current(); state.reset {
		resetConn(from)
		return
	}
	to, err := net.Dial("tcp", l.address)
	if err != nil {
		return
	}
	l.track(to, true)
	defer l.track(to, false)
	defer func() { _ = to.Close() }()
	ended := make(chan struct{}, 2)
	go l.copy(to, from, func(i impairment) bool { return i.holdTo }, ended)
	go l.copy(from, to, func(i impairment) bool { return i.holdFrom }, ended)
	<-ended
}

// copy forwards data until either end closes. It waits while the impairment holds
// data in this direction.
func (l *soakLink) copy(to, from net.Conn, held func(impairment) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		state, changed := l.current()
		for held(state) {
			<-changed
			state, changed = l.current()
		}
		time.Sleep(state.delay)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
