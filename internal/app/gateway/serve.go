package gateway

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/unframed"
	"quetzalbend/internal/callerconn"
	"quetzalbend/internal/drain"
	"quetzalbend/internal/eventlog"
	"quetzalbend/platform"
)

const (
	healthPath        = "/v1/readiness"
	peerStatePath     = "/fleet"
	admissionPath     = "/admission"
	nodesQuery        = "nodes" // asks for the records of the gateways
	metricsPath       = "/metrics"
	protobufMediaType = "application/x-protobuf"
)

// Times of the drain in the usual grace period. A shorter one shortens them alike, as the
// process is killed at its end.
const (
	usualGrace         = 8 * time.Second
	callAcceptPeriod   = 3 * time.Second         // time in which the platform stops sending new connections
	streamAcceptPeriod = 2500 * time.Millisecond // how long after SIGTERM all streams are accepted
	answerMargin       = 200 * time.Millisecond  // time for the answers to requests that are given up
	graceMargin        = 500 * time.Millisecond  // the drain ends this long before SIGKILL
)

// ofGrace returns a time of the drain for a grace period.
func ofGrace(grace, usual time.Duration) time.Duration {
	return min(usual, time.Duration(float64(usual)*grace.Seconds()/usualGrace.Seconds()))
}

// drainPlan keeps connections for as long as requests run: a request that comes on one is
// answered that it has not run, where a closed connection would leave that open.
func drainPlan(grace time.Duration) drain.Plan {
	end := grace - ofGrace(grace, graceMargin)
	answers := end - ofGrace(grace, answerMargin)
	return drain.Plan{Accept: ofGrace(grace, callAcceptPeriod), Keep: answers, Answers: answers, Close: end}
}

// serve serves callers, health checks and peers until ctx ends. It then drains:
// it returns once all callers' connections are closed or the grace period is over.
func (g *Gateway) serve(ctx, background context.Context) error {
	group := &errgroup.Group{}
	callers := newServer(g)
	g.drain.Watch(callers)
	if err := g.listen(group, callers, g.node.CallerAddress, g.callers); err != nil {
		return err
	}
	health := newServer(http.HandlerFunc(g.serveHealth))
	if err := g.listen(group, health, g.node.HealthAddress, g.ownBounds(healthDescriptors, "health")); err != nil {
		return err
	}
	control := newServer(g.controlHandler())
	if err := g.listen(group, control, g.node.ControlAddress, g.ownBounds(controlDescriptors, "control")); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-background.Done(): // another goroutine of the gateway has failed
	}
	g.log.State("stopping", eventlog.Fields{"grace_ms": g.node.GracePeriod.Milliseconds()})
	if err := g.drain.Run(background, callers); err != nil {
		g.log.Problem("connections closed at the end of the grace period", err, nil)
	}
	for _, server := range []*http.Server{health, control} {
		if err := server.Close(); err != nil {
			g.log.Problem("listener not closed", err, nil)
		}
	}
	return group.Wait()
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ConnContext: unframed.WithConnection}
}

func (g *Gateway) listen(group *errgroup.Group, server *http.Server, address string, bounds *callerconn.Bounds) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	listener = bounds.Guard(server, listener)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", address)
		}
		return nil
	})
	return nil
}

func (g *Gateway) ready() bool { return !g.drain.Started() && g.state.View() != nil }

func (g *Gateway) serveHealth(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != healthPath:
		w.WriteHeader(http.StatusNotFound)
	case !g.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (g *Gateway) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+peerStatePath, g.serveState)
	mux.HandleFunc("POST "+admissionPath, g.serveAdmission)
	mux.Handle("GET "+metricsPath, g.metrics.Handler())
	return mux
}

// setPosition adds a place in a topic to a request for a peer's state.
func setPosition(query url.Values, topic string, at platform.Position) {
	query.Set(topic, strconv.FormatInt(at.Next, 10))
	query.Set(topic+"-era", strconv.FormatInt(at.Era, 10))
}

// position returns the place that setPosition has added. Gateways of earlier versions
// name no era.
func position(query url.Values, topic string) (platform.Position, error) {
	next, err := strconv.ParseInt(query.Get(topic), 10, 64)
	if err != nil || !query.Has(topic+"-era") {
		return platform.Position{Next: next}, err
	}
	era, err := strconv.ParseInt(query.Get(topic+"-era"), 10, 64)
	return platform.Position{Era: era, Next: next}, err
}

// serveState sends a peer the state that is newer than the places in the request, up
// to which the peer has read the store.
func (g *Gateway) serveState(w http.ResponseWriter, r *http.Request) {
	settings, errSettings := position(r.URL.Query(), "settings")
	targets, errTargets := position(r.URL.Query(), "targets")
	if errSettings != nil || errTargets != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	shared := g.state.Share(settings, targets)
	var err error
	if r.URL.Query().Has(nodesQuery) {
		shared.Nodes, err = g.peers.records()
	}
	var data []byte
	if err == nil {
		data, err = proto.Marshal(shared)
	}
	if err != nil {
		g.log.Problem("state not encoded", err, nil)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", protobufMediaType)
	if _, err := w.Write(data); err != nil {
		g.log.Decision("state not delivered", eventlog.Fields{"error": err.Error()})
	}
}
