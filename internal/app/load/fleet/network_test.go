package fleet

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo starts an echo server in a domain and returns its address in the network.
func echo(t *testing.T, n *Network, domain string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	addr, err := n.Forward(domain, listener.Addr().String())
	assert.NilError(t, err)
	return addr
}

// dial connects to addr from the source IP address of a domain.
func dial(t *testing.T, from, addr string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether a byte sent on the connection comes back in time.
func echoes(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

func TestCutDelaysTrafficAcrossIt(t *testing.T) {
	n := NewNetwork()
	defer n.Close()
	a, b := n.AddDomain("a"), n.AddDomain("b")
	addr := echo(t, n, "a")
	inside, across := dial(t, a, addr), dial(t, b, addr)
	assert.Assert(t, echoes(t, inside, time.Minute))
	assert.Assert(t, echoes(t, across, time.Minute))
	n.Set("a", Cut)
	assert.Assert(t, echoes(t, inside, time.Minute))
	assert.Assert(t, !echoes(t, across, 20*time.Millisecond))
	n.Set("a", Open)
	assert.Assert(t, echoes(t, across, time.Minute))
}

func TestKillResetsConnections(t *testing.T) {
	n := NewNetwork()
	defer n.Close()
	a := n.AddDomain("a")
	addr := echo(t, n, "a")
	conn := dial(t, a, addr)
	assert.Assert(t, echoes(t, conn, time.Minute))
	n.Set("a", Killed)
	assert.Assert(t, !echoes(t, conn, time.Minute))
	if late, err := net.Dial("tcp", addr); err == nil {
		assert.Assert(t, !echoes(t, late, time.Minute))
		_ = late.Close()
	}
	n.Set("a", Open)
	assert.Assert(t, echoes(t, dial(t, a, addr), time.Minute))
}
