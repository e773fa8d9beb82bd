package link

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/wire"
)

// countingListener counts the reads and writes of its connections, and their bytes.
type countingListener struct {
	net.Listener
	bytes, packets atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, counts: l}, err
}

type countingConn struct {
	net.Conn
	counts *countingListener
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}

func (c *countingConn) count(n int) {
	c.counts.bytes.Add(int64(n))
	c.counts.packets.Add(1)
}

// BenchmarkShortExchange measures how many bytes and packets one short exchange
// takes, on a session that is kept and on a session that is dialled for each
// exchange. A packet is one read or write of the server's connection.
func BenchmarkShortExchange(b *testing.B) {
	mutual := mutualTLS(b)
	for _, c := range []struct {
		name string
		tls  *tls.Config
		keep bool
	}{{"kept", nil, true}, {"dialled", nil, false}, {"kept_tls", mutual, true}, {"dialled_tls", mutual, false}} {
		b.Run(c.name, func(b *testing.B) { benchmarkShortExchange(b, Config{TLS: c.tls}, c.keep) })
	}
}

// mutualTLS returns a configuration that serves for both ends; each end verifies
// the other's certificate.
func mutualTLS(b *testing.B) *tls.Config {
	b.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(b, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(b, err)
	leaf, err := x509.ParseCertificate(der)
	assert.NilError(b, err)
	authorities := x509.NewCertPool()
	authorities.AddCert(leaf)
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: authorities,
		ClientCAs: authorities, ClientAuth: tls.RequireAndVerifyClientCert,
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
	}
}

func benchmarkShortExchange(b *testing.B, config Config, keep bool) {
	b.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	listener := &countingListener{Listener: inner}
	server := NewServer(config, func(_ context.Context, _ *wire.Open, stream *Stream) {
		_ = stream.Send(&wire.SettingsUpdate{})
	})
	go func() { _ = server.Serve(listener) }()
	pool := NewPool(config)
	for b.Loop() {
		open := &wire.Open{Purpose: &wire.Open_Peer{Peer: &wire.PeerSync{Node: "entry-001", Report: 1}}}
		stream, err := pool.Open(context.Background(), inner.Addr().String(), open)
		assert.NilError(b, err)
		assert.NilError(b, stream.Receive(&wire.SettingsUpdate{}))
		assert.NilError(b, stream.Close())
		if !keep {
			assert.NilError(b, pool.Close())
			pool = NewPool(config)
		}
	}
	assert.NilError(b, pool.Close())
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "bytes/op")
	b.ReportMetric(float64(listener.packets.Load())/float64(b.N), "packets/op")
}
