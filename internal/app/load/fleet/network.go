package fleet

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Condition is the condition of a failure domain's network.
type Condition int

// Conditions.
const (
	Open   Condition = iota
	Cut              // traffic across the domain's border is delayed, traffic inside it is not
	Killed           // connections are reset, new ones are refused
)

// Outside is the domain of callers and of the platform.
const Outside = ""

const forwardBuffer = 32 << 10 // bytes

// Network forwards TCP connections between failure domains. It recognizes the
// domain of a connection by its source IP address.
type Network struct {
	mu         sync.Mutex
	conditions map[string]Condition
	domains    map[string]string // by source IP address
	changed    chan struct{}     // closed at the next change
	listeners  []net.Listener
	conns      map[net.Conn][2]string // the domains of both ends by connection
}

// NewNetwork returns a network in which all domains are open.
func NewNetwork() *Network {
	return &Network{
		conditions: make(map[string]Condition),
		domains:    make(map[string]string),
		changed:    make(chan struct{}),
		conns:      make(map[net.Conn][2]string),
	}
}

// AddDomain adds a domain and returns the source IP address from which its
// processes dial.
func (n *Network) AddDomain(domain string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	ip := fmt.Sprintf("127.0.%d.1", len(n.domains)+1)
	n.domains[ip] = domain
	return ip
}

// Forward returns a new address whose connections it forwards to the listener of
// a domain at addr.
func (n *Network) Forward(domain, addr string) (string, error) {
	reserved, setTarget, err := n.Reserve(domain)
	if err == nil {
		setTarget(addr)
	}
	return reserved, err
}

// Reserve is Forward for a listener that does not exist yet: the returned
// function sets its address. Until then connections are reset.
func (n *Network) Reserve(domain string) (reserved string, setTarget func(addr string), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrapf(err, "listen for connections into domain %s", domain)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, listener)
	n.mu.Unlock()
	var target atomic.Pointer[string]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if addr := target.Load(); addr != nil {
				go n.forwardConn(conn, domain, *addr)
			} else {
				reset(conn)
			}
		}
	}()
	return listener.Addr().String(), func(addr string) { target.Store(&addr) }, nil
}

// Set changes the condition of a domain.
func (n *Network) Set(domain string, condition Condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conditions[domain] = condition
	close(n.changed)
	n.changed = make(chan struct{})
	if condition != Killed {
		return
	}
	for conn, ends := range n.conns {
		if ends[0] == domain || ends[1] == domain {
			reset(conn)
		}
	}
}

// Close ends all connections and listeners.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
	for conn := range n.conns {
		reset(conn)
	}
	clear(n.conditions)
	close(n.changed)
	n.changed = make(chan struct{})
}

// forwardConn connects from to the listener of a domain at addr and copies both
// ways until either end closes.
func (n *Network) forwardConn(from net.Conn, domain, addr string) {
	defer func() { _ = from.Close() }()
	ends := [2]string{n.domainOf(from), domain}
	if n.condition(ends) == Killed {
		reset(from)
		return
	}
	n.waitUntilOpen(ends)
	to, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		reset(from)
		return
	}
	n.track(ends, from, to)
	defer n.untrack(from, to)
	done := make(chan struct{})
	go func() {
		n.copy(to, from, ends)
		close(done)
	}()
	n.copy(from, to, ends)
	<-done
}

// copy copies bytes one way until either end closes, and then closes both.
func (n *Network) copy(to, from net.Conn, ends [2]string) {
	buffer := make([]byte, forwardBuffer)
	for {
		count, err := from.Read(buffer)
		n.waitUntilOpen(ends)
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// waitUntilOpen waits while a cut separates two domains.
func (n *Network) waitUntilOpen(ends [2]string) {
	for {
		n.mu.Lock()
		changed := n.changed
		n.mu.Unlock()
		if n.condition(ends) != Cut {
			return
		}
		<-changed
	}
}

// condition returns the condition of the path between two domains: the worse of
// theirs, but a cut domain stays open inside.
func (n *Network) condition(ends [2]string) Condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	worst := max(n.conditions[ends[0]], n.conditions[ends[1]])
	if worst == Cut && ends[0] == ends[1] {
		return Open
	}
	return worst
}

// domainOf returns the domain that a connection comes from.
func (n *Network) domainOf(conn net.Conn) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return n.domains[host]
}

func (n *Network) track(ends [2]string, conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		n.conns[conn] = ends
	}
}

func (n *Network) untrack(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		delete(n.conns, conn)
	}
}

// reset closes a connection with a TCP reset, so that the peer sees an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
