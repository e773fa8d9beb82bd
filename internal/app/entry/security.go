package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/adapter/link"
)

// security holds the TLS keys of the listeners and links; nil means no TLS.
type security struct {
	callers   *keys.Keys
	operators *keys.Keys
	links     *keys.Keys
}

func loadSecurity(cfg Config) (*security, error) {
	s := &security{}
	for _, set := range []struct {
		files *keys.Files
		into  **keys.Keys
		name  string
	}{
		{cfg.CallersTLS, &s.callers, "callers_tls"},
		{cfg.OperatorsTLS, &s.operators, "operators_tls"},
		{cfg.LinksTLS, &s.links, "links_tls"},
	} {
		if set.files == nil {
			continue
		}
		loaded, err := keys.Load(*set.files)
		if err != nil {
			return nil, errors.Wrap(err, set.name)
		}
		*set.into = loaded
	}
	return s, nil
}

// run reloads changed key files until ctx ends.
func (s *security) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, set := range []*keys.Keys{s.callers, s.operators, s.links} {
		if set != nil {
			group.Go(func() error { return set.Run(ctx) })
		}
	}
	return group.Wait()
}

// clientLinkConfig returns the configuration of links that this entry opens from
// an IP address. If that is empty, the operating system chooses it.
func (s *security) clientLinkConfig(from string) (link.Config, error) {
	cfg := link.Config{DialTimeout: agentDialTimeout, LocalIP: net.ParseIP(from)}
	if s.links == nil {
		return cfg, nil
	}
	var err error
	cfg.TLS, err = s.links.ClientConfig()
	return cfg, err
}

// exchangeLinkConfig returns the configuration of links to peers that get one
// message in each round. Without TLS, keeping a session open until the next round
// costs more in probes than opening a new one; with TLS, a new one costs more.
func exchangeLinkConfig(cfg link.Config) link.Config {
	if cfg.TLS == nil {
		cfg.IdleTimeout = peerIdleTimeout
	}
	return cfg
}

// serverLinkConfig returns the configuration of links that other entries open.
func (s *security) serverLinkConfig() link.Config {
	if s.links == nil {
		return link.Config{}
	}
	return link.Config{TLS: s.links.ServerConfig()}
}

// serveHTTP serves a listener, with TLS if there are keys for it.
func serveHTTP(server *http.Server, listener net.Listener, set *keys.Keys, protocols ...string) error {
	if set == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = set.ServerConfig(protocols...)
	return server.ServeTLS(listener, "", "")
}
