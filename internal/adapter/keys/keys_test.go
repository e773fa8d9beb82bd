package keys

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/core/check"
)

// authority is a CA that writes the certificates it signs to a directory.
type authority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.certificate, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	assert.NilError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a new certificate for a name, and its key, and returns their files.
func (a *authority) issue(name string) Files {
	a.t.Helper()
	a.serial++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial + 1), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	return Files{
		CertificateFile: a.write(name+".pem", "CERTIFICATE", der),
		KeyFile:         a.write(name+"-key.pem", "EC PRIVATE KEY", keyDER),
		CAFile:          filepath.Join(a.dir, "ca.pem"),
		PollMS:          minPollMS,
	}
}

func loadKeys(t *testing.T, files Files) *Keys {
	t.Helper()
	k, err := Load(files)
	assert.NilError(t, err)
	return k
}

// handshake connects a client to a server and returns the serial number of the
// server's certificate and the errors of both ends.
func handshake(t *testing.T, server, client *Keys) (serial int64, clientErr, serverErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server.ServerConfig())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		done <- err
	}()
	config, err := client.ClientConfig()
	assert.NilError(t, err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	secure := tls.Client(conn, config)
	clientErr = secure.Handshake()
	if clientErr != nil {
		_ = conn.Close()
		return 0, clientErr, <-done
	}
	serverErr = <-done
	_ = conn.Close()
	return secure.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil, serverErr
}

func TestPeersOfSameAuthorityTrustEachOther(t *testing.T) {
	a := newAuthority(t)
	_, clientErr, serverErr := handshake(t, loadKeys(t, a.issue("agent")), loadKeys(t, a.issue("entry")))
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
}

func TestPeerOfAnotherAuthorityIsRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	stranger := theirs.issue("entry")
	stranger.CAFile = filepath.Join(ours.dir, "ca.pem")
	_, _, serverErr := handshake(t, loadKeys(t, ours.issue("agent")), loadKeys(t, stranger))
	assert.ErrorContains(t, serverErr, "verify peer")
	_, clientErr, _ := handshake(t, loadKeys(t, stranger), loadKeys(t, ours.issue("entry")))
	assert.ErrorContains(t, clientErr, "verify peer")
}

func TestPeerWithAnotherNameIsRefused(t *testing.T) {
	a := newAuthority(t)
	client := a.issue("entry")
	client.PeerName = "agent"
	_, clientErr, _ := handshake(t, loadKeys(t, a.issue("impostor")), loadKeys(t, client))
	assert.ErrorContains(t, clientErr, "verify peer")
}

func TestChangedFilesAreReloadedWithoutRestart(t *testing.T) {
	a := newAuthority(t)
	server := loadKeys(t, a.issue("agent"))
	client := loadKeys(t, a.issue("entry"))
	before, _, _ := handshake(t, server, client)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()

	a.issue("agent")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if server.Reloads() == 0 {
			return poll.Continue("not reloaded yet")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	after, clientErr, _ := handshake(t, server, client)
	assert.NilError(t, clientErr)
	assert.Assert(t, after != before)
	cancel()
	assert.NilError(t, <-done)
}

func TestPreviousFilesStayInUseIfReloadFails(t *testing.T) {
	a := newAuthority(t)
	files := a.issue("agent")
	server := loadKeys(t, files)
	assert.NilError(t, os.WriteFile(files.KeyFile, []byte("half a key"), 0o600))
	server.reloadIfChanged()
	assert.NilError(t, os.Remove(files.CertificateFile))
	server.reloadIfChanged()
	_, clientErr, _ := handshake(t, server, loadKeys(t, a.issue("entry")))
	assert.NilError(t, clientErr)
	assert.Equal(t, server.Reloads(), int64(0))
	_, err := Load(files)
	assert.ErrorContains(t, err, "stat TLS file")
}

func TestCheckReportsMissingFields(t *testing.T) {
	report := check.NewReport("")
	(&Files{PeerName: "x", PollMS: 1}).Check(report, "tls")
	assert.Equal(t, len(report.Problems()), 4, "%v", report.Problems())
}
