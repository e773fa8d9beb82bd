package fleet

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// echo serves an echo in a domain and returns the address that leads to it.
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

func dial(t *testing.T, from, addr string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// passes reports whether a byte comes back within a while.
func passes(t *testing.T, conn net.Conn, within time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err := conn.Read(make([]byte, 1))
	return err == nil
}

func TestCutHoldsBackWhatCrossesIt(t *testing.T) {
	n := NewNetwork()
	defer n.Close()
	a, b := n.AddDomain("a"), n.AddDomain("b")
	addr := echo(t, n, "a")
	inside, across := dial(t, a, addr), dial(t, b, addr)
	assert.Assert(t, passes(t, inside, time.Minute))
	assert.Assert(t, passes(t, across, time.Minute))
	n.Set("a", Cut)
	assert.Assert(t, passes(t, inside, time.Minute))
	assert.Assert(t, !passes(t, across, 20*time.Millisecond))
	n.Set("a", Open)
	assert.Assert(t, passes(t, across, time.Minute))
}

func TestKillBreaksConnections(t *testing.T) {
	n := NewNetwork()
	defer n.Close()
	a := n.AddDomain("a")
	addr := echo(t, n, "a")
	conn := dial(t, a, addr)
	assert.Assert(t, passes(t, conn, time.Minute))
	n.Set("a", Killed)
	assert.Assert(t, !passes(t, conn, time.Minute))
	if late, err := net.Dial("tcp", addr); err == nil {
		assert.Assert(t, !passes(t, late, time.Minute))
		_ = late.Close()
	}
	n.Set("a", Open)
	assert.Assert(t, passes(t, dial(t, a, addr), time.Minute))
}
