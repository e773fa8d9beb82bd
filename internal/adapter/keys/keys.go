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

// Keys holds the content of a set of files as of the last successful load.
type Keys struct {
	files         Files
	current       atomic.Pointer[loadedFiles]
	reloads       atomic.Int64
	reloadFailing atomic.Bool
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

// Run checks the files for changes until ctx ends and reloads them. If a reload
// fails, the previous content stays in use.
func (k *Keys) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.files.pollInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.reloadIfChanged()
		}
	}
}

// Reloads returns the number of successful reloads.
func (k *Keys) Reloads() int64 { return k.reloads.Load() }

// reloadIfChanged reloads the files if their stamps have changed. Of consecutive
// failures it logs only the first.
func (k *Keys) reloadIfChanged() {
	stamps, err := k.files.stamps()
	if err == nil && stamps == k.current.Load().stamps {
		return
	}
	var next *loadedFiles
	if err == nil {
		next, err = k.files.read()
	}
	reloadFailing := err != nil
	if k.reloadFailing.Swap(reloadFailing) != reloadFailing && reloadFailing {
		log.WithError(err).WithField("file", k.files.CertificateFile).Error("cannot reload TLS files; the previous ones stay in use")
	}
	if reloadFailing {
		return
	}
	k.current.Store(next)
	k.reloads.Add(1)
	log.WithField("file", k.files.CertificateFile).Info("TLS files reloaded")
}

// ServerConfig returns the TLS configuration of a listener. With a CA file it
// requires a valid client certificate.
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

// ClientConfig returns the TLS configuration of connections to peers. It needs a
// CA file. A peer is verified by the chain of its certificate and, if Files.PeerName
// is set, by its DNS name, but not by its address, since IP addresses change.
func (k *Keys) ClientConfig() (*tls.Config, error) {
	if k.files.CAFile == "" {
		return nil, errors.New("a client needs a CA file to verify its peers")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().certificate, nil
		},
		// VerifyConnection verifies the whole chain instead, against the current CA
		// file.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verifyPeer(x509.ExtKeyUsageServerAuth),
	}, nil
}

// verifyPeer returns a function that verifies the chain of a peer's certificate
// against the current CA file, and its DNS name if Files.PeerName is set.
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
