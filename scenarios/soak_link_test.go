//go:build scenarios

package scenarios

import (
	"net"
	"sync"
	"testing"
	"time"
)

// trouble is what a link does to its connections.
type trouble struct {
	delay    time.Duration // before each piece of data is passed on
	holdTo   bool          // nothing passes to the far end
	holdFrom bool          // nothing passes from the far end
	reset    bool          // all connections are reset, and new ones at once
}

// soakLink forwards TCP connections to an address and troubles them.
type soakLink struct {
	listener net.Listener
	address  string

	mu      sync.Mutex
	trouble trouble
	changed chan struct{} // closed at the next change of trouble
	conns   map[net.Conn]bool
}

func newSoakLink(t *testing.T, address string) *soakLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &soakLink{listener: listener, address: address, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go l.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		l.set(trouble{reset: true})
	})
	return l
}

func (l *soakLink) where() string { return l.listener.Addr().String() }

func (l *soakLink) set(next trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trouble = next
	close(l.changed)
	l.changed = make(chan struct{})
	if next.reset {
		for conn := range l.conns {
			breakOff(conn)
		}
	}
}

func (l *soakLink) now() (trouble, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trouble, l.changed
}

func breakOff(conn net.Conn) {
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
		go l.carry(from)
	}
}

func (l *soakLink) keep(conn net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[conn] = true
	} else {
		delete(l.conns, conn)
	}
}

func (l *soakLink) carry(from net.Conn) {
	l.keep(from, true)
	defer l.keep(from, false)
	defer func() { _ = from.Close() }()
	if present, _ := l.now(); present.reset {
		breakOff(from)
		return
	}
	to, err := net.Dial("tcp", l.address)
	if err != nil {
		return
	}
	l.keep(to, true)
	defer l.keep(to, false)
	defer func() { _ = to.Close() }()
	ended := make(chan struct{}, 2)
	go l.copy(to, from, func(t trouble) bool { return t.holdTo }, ended)
	go l.copy(from, to, func(t trouble) bool { return t.holdFrom }, ended)
	<-ended
}

// copy passes data on until an end closes, and holds it back in the meantime.
func (l *soakLink) copy(to, from net.Conn, held func(trouble) bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		present, changed := l.now()
		for held(present) {
			<-changed
			present, changed = l.now()
		}
		time.Sleep(present.delay)
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
