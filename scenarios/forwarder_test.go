//go:build scenarios

package scenarios

import (
	"io"
	"net"
	"sync"
)

// network forwards TCP connections between the processes of a scenario and can
// cut the link between two failure domains. Each failure domain dials from its
// own IP address, which identifies it.
type network struct {
	lock       sync.Mutex
	domains    map[string]string  // failure domain by source IP
	cuts       map[[2]string]bool // by pairOf
	changed    chan struct{}      // closed at the next change of cuts
	forwarders []net.Listener
}

func newNetwork() *network {
	return &network{
		domains: make(map[string]string),
		cuts:    make(map[[2]string]bool),
		changed: make(chan struct{}),
	}
}

// forward listens on a free port and forwards its connections to address, which
// belongs to domain. It returns the address on which it listens.
func (n *network) forward(domain, address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.lock.Lock()
	n.forwarders = append(n.forwarders, listener)
	n.lock.Unlock()
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go n.forwardConn(from, domain, address)
		}
	}()
	return listener.Addr().String(), nil
}

func (n *network) forwardConn(from net.Conn, domain, address string) {
	defer func() { _ = from.Close() }()
	pair := pairOf(n.domainOf(from), domain)
	if n.isCut(pair) {
		// As if the SYN were lost: the connection is never answered.
		n.waitHealed(pair)
		return
	}
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	go func() {
		n.copy(to, from, pair)
		_ = to.Close()
	}()
	n.copy(from, to, pair)
}

// copy forwards bytes until either end closes. It holds them back while pair is
// cut, since TCP delivers data late after a partition and does not lose it.
func (n *network) copy(to io.Writer, from io.Reader, pair [2]string) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		n.waitHealed(pair)
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

func (n *network) domainOf(conn net.Conn) string {
	n.lock.Lock()
	defer n.lock.Unlock()
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return n.domains[host]
}

func (n *network) isCut(pair [2]string) bool {
	n.lock.Lock()
	defer n.lock.Unlock()
	return n.cuts[pair]
}

func (n *network) waitHealed(pair [2]string) {
	for {
		n.lock.Lock()
		cut, changed := n.cuts[pair], n.changed
		n.lock.Unlock()
		if !cut {
			return
		}
		<-changed
	}
}

// setLink cuts or heals the link between two failure domains.
func (n *network) setLink(a, b string, cut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if cut {
		n.cuts[pairOf(a, b)] = true
	} else {
		delete(n.cuts, pairOf(a, b))
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) close() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, listener := range n.forwarders {
		_ = listener.Close()
	}
	clear(n.cuts)
	close(n.changed)
	n.changed = make(chan struct{})
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
