package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
)

// DefaultPollInterval is the default time between checks of the files for changes.
const DefaultPollInterval = 10 * time.Second

// Files names the PEM files of one listener or of the links between processes.
type Files struct {
	CertificateFile string `json:"certificate_file"`
	KeyFile         string `json:"key_file"`
	CAFile          string `json:"ca_file,omitempty"`   // CA certificates that peers are verified against; set for mutual TLS
	PeerName        string `json:"peer_name,omitempty"` // DNS name that a peer's certificate must carry, default any
	PollMS          int64  `json:"poll_ms,omitempty"`   // time between checks of the files for changes, 100 to 3600000, default 10000
}

// Range of Files.PollMS.
const (
	minPollMS = 100
	maxPollMS = 3_600_000
)

// Check reports invalid fields of f. The parameter field is the name of the JSON
// field that holds f.
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

// pollInterval returns PollMS as a duration, or the default if it is not set.
func (f *Files) pollInterval() time.Duration {
	if f.PollMS == 0 {
		return DefaultPollInterval
	}
	return time.Duration(f.PollMS) * time.Millisecond
}

// loadedFiles is the content of the files.
type loadedFiles struct {
	certificate tls.Certificate
	pool        *x509.CertPool // nil without a CA file
	stamps      [3]stamp
}

// stamp is the modification time and size of a file, by which a change is noticed.
type stamp struct {
	modified time.Time
	size     int64
}

// read loads all files.
func (f *Files) read() (*loadedFiles, error) {
	stamps, err := f.stamps()
	if err != nil {
		return nil, err
	}
	loaded := &loadedFiles{stamps: stamps}
	if loaded.certificate, err = tls.LoadX509KeyPair(f.CertificateFile, f.KeyFile); err != nil {
		return nil, errors.Wrap(err, "load certificate and key")
	}
	if f.CAFile == "" {
		return loaded, nil
	}
	data, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	loaded.pool = x509.NewCertPool()
	if !loaded.pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("CA file %s contains no certificate", f.CAFile)
	}
	return loaded, nil
}

// stamps returns the stamps of the certificate, key and CA file; that of a file
// without a name is zero.
func (f *Files) stamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, name := range []string{f.CertificateFile, f.KeyFile, f.CAFile} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return stamps, errors.Wrap(err, "stat TLS file")
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}
