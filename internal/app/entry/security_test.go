package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/wire"
)

// keyFiles writes a key and a self-signed certificate, which is also the CA.
func keyFiles(t *testing.T) *keys.Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{"node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	files := &keys.Files{KeyFile: write("key.pem", "EC PRIVATE KEY", keyDER)}
	files.CertificateFile = write("certificate.pem", "CERTIFICATE", der)
	files.CAFile = files.CertificateFile
	return files
}

func TestListenersWithTLS(t *testing.T) {
	s := newTestSystem(t)
	s.putDefaults()
	files := keyFiles(t)
	public := &keys.Files{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile}
	e, _, _ := s.start("e0", func(c *Config) {
		c.CallersTLS = public
		c.LinksTLS = files
	})
	waitReady(t, e)

	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true} //nolint:gosec // the certificate is the test's own
	req, err := http.NewRequest(http.MethodGet, "https://"+e.CallersAddr()+"/v1/models", nil)
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.Proto, "HTTP/2.0")
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)

	assert.NilError(t, syncAs(t, e.PeersAddr(), files))
	assert.Assert(t, syncAs(t, e.PeersAddr(), keyFiles(t)) != nil, "a peer with another key was served")
	assert.Assert(t, syncAs(t, e.PeersAddr(), nil) != nil, "a peer without a key was served")
}

// syncAs exchanges one message with an entry as a peer with the given keys.
func syncAs(t *testing.T, addr string, files *keys.Files) error {
	t.Helper()
	cfg := link.Config{DialTimeout: time.Second}
	if files != nil {
		set, err := keys.Load(*files)
		assert.NilError(t, err)
		cfg.TLS, err = set.ClientConfig()
		assert.NilError(t, err)
	}
	pool := link.NewPool(cfg)
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(context.Background(), addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: &wire.PeerSync{}}})
	if err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	return stream.Receive(&wire.SettingsUpdate{})
}
