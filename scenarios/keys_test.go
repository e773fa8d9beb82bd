//go:build scenarios

package scenarios

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/app/agent"
	"quetzalbend/internal/wire"
)

const strangerTimeout = 2 * time.Second

// authority is a certificate authority for the processes of a scenario.
type authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority() (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{key: key, certificate: certificate}, err
}

// issue returns a new certificate and its key in PEM form.
func (a *authority) issue() (certificate, key []byte, err error) {
	own, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour),
		DNSNames:    []string{"quetzalbend"},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &own.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	private, err := x509.MarshalECPrivateKey(own)
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), err
}

// linkKeys creates an authority and writes the key files for mutual TLS on all
// links.
func (sc *scenario) linkKeys() (*keys.Files, error) {
	var err error
	if sc.authority, err = newAuthority(); err != nil {
		return nil, err
	}
	files := &keys.Files{
		CertificateFile: filepath.Join(sc.folder, "links.crt"),
		KeyFile:         filepath.Join(sc.folder, "links.key"),
		CAFile:          filepath.Join(sc.folder, "ca.crt"),
		PollMS:          100,
	}
	root := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: sc.authority.certificate.Raw})
	if err := os.WriteFile(files.CAFile, root, 0o600); err != nil {
		return nil, err
	}
	sc.linkFiles = files
	return files, sc.cmdRekey(nil)
}

// cmdRekey replaces the key and certificate of all links: rekey.
func (sc *scenario) cmdRekey([]string) error {
	certificate, key, err := sc.authority.issue()
	if err != nil {
		return err
	}
	if err := os.WriteFile(sc.linkFiles.CertificateFile, certificate, 0o600); err != nil {
		return err
	}
	return os.WriteFile(sc.linkFiles.KeyFile, key, 0o600)
}

// cmdStranger checks that an agent answers neither a client without TLS nor one
// whose certificate another authority has signed: stranger AGENT.
func (sc *scenario) cmdStranger(args []string) error {
	if len(args) != 1 {
		return errors.New("usage: stranger AGENT")
	}
	process, err := sc.process(args[0])
	if err != nil {
		return err
	}
	other, err := newAuthority()
	if err != nil {
		return err
	}
	certificate, key, err := other.issue()
	if err != nil {
		return err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return err
	}
	untrusted := &tls.Config{Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true} //nolint:gosec // this client need not verify the agent
	for name, config := range map[string]*tls.Config{"without TLS": nil, "with an untrusted certificate": untrusted} {
		if statusOf(process.Config.(agent.Config).Listen, config) == nil {
			return errors.Errorf("%s answers a client %s", args[0], name)
		}
	}
	return nil
}

// statusOf requests the status of an agent and returns nil if it answers.
func statusOf(addr string, config *tls.Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), strangerTimeout)
	defer cancel()
	pool := link.NewPool(link.Config{TLS: config, DialTimeout: strangerTimeout})
	defer func() { _ = pool.Close() }()
	stream, err := pool.Open(ctx, addr, &wire.Open{Purpose: &wire.Open_Status{Status: &wire.StatusRequest{}}})
	if err != nil {
		return err
	}
	if err := stream.SetDeadline(time.Now().Add(strangerTimeout)); err != nil {
		return err
	}
	return stream.Receive(&wire.TargetStatus{})
}
