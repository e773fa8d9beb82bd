package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
)

// Keys holds the newest content of a set of files that could be loaded.
type Keys struct {
	files   Files
	current atomic.Pointer[material]
	reloads atomic.Int64
	failing atomic.Bool
}

// Load reads the files for the first time.
func Load(files Files) (*Keys, error) {
	k := &Keys{files: files}
	first, err := files.read()
	if err != nil {
		return nil, err
	}
	k.current.Store(first)
	return k, nil
}

// Run looks for changes of the files until ctx ends. Files that cannot be loaded
// leave the earlier ones in use.
func (k *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.files.pollInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.poll()
		}
	}
}

// Reloads returns how often changed files were taken over.
func (k *Keys) Reloads() int64 { return k.reloads.Load() }

func (k *Keys) poll() {
	stamps, err := k.files.stamps()
	if err == nil && stamps == k.current.Load().stamps {
		return
	}
	var next *material
	if err == nil {
		next, err = k.files.read()
	}
	failing := err != nil
	if k.failing.Swap(failing) != failing && failing {
		log.WithError(err).WithField("file", k.files.CertificateFile).Error("key files cannot be loaded; the earlier ones stay in use")
	}
	if failing {
		return
	}
	k.current.Store(next)
	k.reloads.Add(1)
	log.WithField("file", k.files.CertificateFile).Info("key files loaded again")
}

// ServerConfig returns the configuration of a listener. With a CA file it asks
// for a client certificate and refuses peers without a right one.
func (k *Keys) ServerConfig(protocols ...string) *tls.Config {
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &k.current.Load().certificate, nil },
	}
	if k.files.CAFile != "" {
		config.ClientAuth = tls.RequireAnyClientCert
		config.VerifyConnection = k.verifyPeer(x509.ExtKeyUsageClientAuth)
		config.SessionTicketsDisabled = true
	}
	return config
}

// ClientConfig returns the configuration of connections to peers. It needs a CA
// file. Peers are told by their certificate's chain and name and not by their
// address, which is an IP number that changes.
func (k *Keys) ClientConfig() (*tls.Config, error) {
	if k.files.CAFile == "" {
		return nil, errors.New("a client needs a CA file to check its peers against")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		// VerifyConnection checks the whole chain, against the newest CA file.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyPeer(x509.ExtKeyUsageServerAuth),
	}, nil
}

// verifyPeer returns a check of a peer's certificate chain and name against the
// newest CA file.
func (k *Keys) verifyPeer(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer sent no certificate")
		}
		intermediates := x509.NewCertPool()
		for _, certificate := range state.PeerCertificates[1:] {
			intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
			DNSName:       k.files.PeerName,
			Roots:         k.current.Load().pool,
			Intermediates: intermediates,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		return errors.Wrap(err, "verify peer")
	}
}
