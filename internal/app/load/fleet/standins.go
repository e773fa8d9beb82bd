package fleet

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"quetzalbend/internal/app/standin/engine"
	"quetzalbend/internal/app/standin/platform"
	"quetzalbend/internal/app/standin/serve"
	"quetzalbend/internal/app/standin/service"
)

// Engine is one engine stand-in with the name and domain of its target.
type Engine struct {
	*engine.Engine

	Target string
	Domain string
	url    string
}

// Service is one service stand-in with the name and domain of its target.
type Service struct {
	*service.Service

	Target string
	Domain string
	url    string
}

// serve serves a handler on loopback until the fleet ends, and returns its URL.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	f.group.Go(func() error { return serve.HTTP(f.ctx, listener, handler) })
	return "http://" + listener.Addr().String(), nil
}

func (f *Fleet) startStandins(ctx context.Context) error {
	f.platform = platform.New(platform.Config{})
	var err error
	if f.platformURL, err = f.serve(f.platform.Handler()); err != nil {
		return err
	}
	for _, domain := range f.cfg.Domains {
		for range f.cfg.Engines {
			e := &Engine{Engine: engine.New(f.cfg.Engine), Target: f.name("m", len(f.Engines)), Domain: domain}
			if e.url, err = f.serve(e); err != nil {
				return err
			}
			f.Engines = append(f.Engines, e)
		}
		for range f.cfg.Services {
			s := &Service{Service: service.New(), Target: f.name("s", len(f.Services)), Domain: domain}
			if s.url, err = f.serve(s); err != nil {
				return err
			}
			f.Services = append(f.Services, s)
		}
	}
	return ctx.Err()
}
