//go:build scenarios

package scenarios

import (
	"io"
	"net"
	"sync"
)

// network forwards TCP connections between the processes of a scenario and cuts
// them by failure domain. Every failure domain dials from an IP of its own.
type network struct {
	lock       sync.Mutex
	domains    map[string]string // by source IP
	cuts       map[[2]string]bool
	healed     chan struct{} // closed at the next change of cuts
	forwarders []net.Listener
}

func newNetwork() *network {
	return &network{
		domains: make(map[string]string),
		cuts:    make(map[[2]string]bool),
		healed:  make(chan struct{}),
	}
}

// forward listens and carries connections on to address, which lies in domain.
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
			go n.carry(from, domain, address)
		}
	}()
	return listener.Addr().String(), nil
}

func (n *network) carry(from net.Conn, domain, address string) {
	defer func() { _ = from.Close() }()
	pair := pairOf(n.domainOf(from), domain)
	if n.isCut(pair) {
		// Like a lost SYN: nothing is ever answered.
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

// copy carries bytes until either end closes; while pair is cut it holds them
// back, as TCP does behind a partition.
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
		cut, healed := n.cuts[pair], n.healed
		n.lock.Unlock()
		if !cut {
			return
		}
		<-healed
	}
}

// set cuts or heals the link between two failure domains.
func (n *network) set(a, b string, cut bool) {
	n.lock.Lock()
	defer n.lock.Unlock()
	if cut {
		n.cuts[pairOf(a, b)] = true
	} else {
		delete(n.cuts, pairOf(a, b))
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

func (n *network) close() {
	n.lock.Lock()
	defer n.lock.Unlock()
	for _, listener := range n.forwarders {
		_ = listener.Close()
	}
	clear(n.cuts)
	close(n.healed)
	n.healed = make(chan struct{})
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}
