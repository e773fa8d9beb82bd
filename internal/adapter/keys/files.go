package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
)

// DefaultPollInterval is how often files are looked at.
const DefaultPollInterval = 10 * time.Second

// Files names the PEM files of one listener or of the links between processes.
type Files struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	CAFile          string `json:"ca_file,omitempty"`   // certificates that peers are checked against; set for mutual TLS
	PeerName        string `json:"peer_name,omitempty"` // DNS name that a peer's certificate must carry, default any
	PollMS          int64  `json:"poll_ms,omitempty"`   // how often the files are looked at, 100 to 3600000, default 10000
}

// Range of Files.PollMS.
const (
	minPollMS = 100
	maxPollMS = 3_600_000
)

// Check adds what is wrong with the names to a report. Field is the name of the
// JSON field that holds f.
func (f *Files) Check(report *check.Report, field string) {
	if f.CertificateFile == "" {
		report.Add(field+".certificate_file", f.CertificateFile, "the name of a PEM file")
	}
	if f.KeyFile == "" {
		report.Add(field+".key_file", f.KeyFile, "the name of a PEM file")
	}
	if f.PeerName != "" && f.CAFile == "" {
		report.Add(field+".ca_file", f.CAFile, "the name of a PEM file, since peer_name is set")
	}
	if f.PollMS != 0 {
		report.Range(field+".poll_ms", f.PollMS, minPollMS, maxPollMS, "milliseconds")
	}
}

// pollInterval returns the interval with its default.
func (f *Files) pollInterval() time.Duration {
	if f.PollMS == 0 {
		return DefaultPollInterval
	}
	return time.Duration(f.PollMS) * time.Millisecond
}

// material is what the files hold.
type material struct {
	certificate tls.Certificate
	pool        *x509.CertPool // nil without a CA file
	stamps      [3]stamp
}

// stamp tells two states of a file apart.
type stamp struct {
	modified time.Time
	size     int64
}

// read loads all files.
func (f *Files) read() (*material, error) {
	stamps, err := f.stamps()
	if err != nil {
		return nil, err
	}
	m := &material{stamps: stamps}
	if m.certificate, err = tls.LoadX509KeyPair(f.CertificateFile, f.KeyFile); err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	if f.CAFile == "" {
		return m, nil
	}
	data, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s holds no certificate", f.CAFile)
	}
	return m, nil
}

func (f *Files) stamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{f.CertificateFile, f.KeyFile, f.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "look at key file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}
