package ctl

import (
	"bytes"
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/check"
	"quetzalbend/internal/startup"
)

// maxTokenBytes bounds a token file.
const maxTokenBytes = 4096

// Config is the start-up file.
type Config struct {
	Servers   []string `json:"servers"`           // operators' URLs of entries, tried in order
	TokenFile string   `json:"token_file"`        // file that holds the operator's token
	CAFile    string   `json:"ca_file,omitempty"` // PEM CA certificates for verifying the entries, default the system's

	// PEM files of the client certificate, for entries that ask for one. Default none.
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
}

// CheckConfig returns the problems of a start-up file.
func CheckConfig(c *Config) []check.Problem {
	report := check.NewReport("")
	if len(c.Servers) == 0 {
		report.Add("servers", c.Servers, "the operators' URL of at least one entry")
	}
	for i, server := range c.Servers {
		parsed, err := url.Parse(server)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			report.Add("servers["+strconv.Itoa(i)+"]", server, "a URL such as https://10.0.0.1:7443")
		}
	}
	if c.TokenFile == "" {
		report.Add("token_file", c.TokenFile, "the name of a file that holds the operator's token")
	}
	if (c.CertificateFile == "") != (c.KeyFile == "") {
		report.Add("key_file", c.KeyFile, "certificate_file and key_file, or neither")
	}
	return report.Problems()
}

// loadConfig reads the start-up file, if there is one, and overrides its fields
// with the flags that are given.
func (o *globalOptions) loadConfig() (Config, error) {
	var config Config
	if o.Config != "" {
		loaded, err := startup.Load[Config](o.Config, nil)
		if err != nil {
			return config, err
		}
		config = loaded
	}
	if len(o.Server) > 0 {
		config.Servers = o.Server
	}
	if o.TokenFile != "" {
		config.TokenFile = o.TokenFile
	}
	if o.CAFile != "" {
		config.CAFile = o.CAFile
	}
	if problems := CheckConfig(&config); len(problems) > 0 {
		for i := range problems {
			problems[i].Path = "start-up file or flags"
		}
		return config, &check.Error{Problems: problems}
	}
	return config, nil
}

// readToken reads the operator's token from a file.
func readToken(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxTokenBytes))
	if err != nil {
		return "", errors.Wrap(err, "read token file")
	}
	token := string(bytes.TrimSpace(data))
	if token == "" {
		return "", errors.Errorf("token file %s is empty", path)
	}
	return token, nil
}
