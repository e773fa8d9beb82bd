package ranklink

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	pathState     = "/rank"
	pathOrder     = "/order"
	queryCounts   = "counts" // query parameter: include how often each expert was chosen
	queryPlaced   = "placed" // query parameter: include the experts that the rank holds
	engineTimeout = 300 * time.Millisecond
	// orderTimeout limits an order to the engine, which answers at once. The leader allows
	// more time, since its link may be busy, and can so send the order again.
	orderTimeout  = 100 * time.Millisecond
	maxOrderBytes = 1 << 20
	mediaType     = "application/x-protobuf"
)

// Engine is the rank that an agent serves. platform.Engine implements it.
type Engine interface {
	Report(ctx context.Context) (mapchange.Rank, error)
	Counts(ctx context.Context) ([]int64, error)
	Placement(ctx context.Context) (platform.Placement, error)
	SendOrder(ctx context.Context, order platform.RankOrder) (platform.OrderAnswer, error)
}

// Handler serves the state of an engine and passes orders on to it.
func Handler(engine Engine, log *eventlog.Log) http.Handler {
	s := &server{engine: engine, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathState, s.state)
	mux.HandleFunc("POST "+pathOrder, s.order)
	return mux
}

type server struct {
	engine Engine
	log    *eventlog.Log
}

func (s *server) state(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), engineTimeout)
	defer cancel()
	rank, placement, err := s.readRank(ctx, r.URL.Query().Has(queryCounts), r.URL.Query().Has(queryPlaced))
	if err != nil {
		s.log.Decision("cannot read rank state", eventlog.Fields{"error": err.Error()})
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	s.reply(w, encodeRank(rank, placement))
}

// readRank reads the engine's report and, if asked for, the counts of chosen
// experts and the experts held. It leaves the experts out if they belong to
// another map version than the report.
func (s *server) readRank(ctx context.Context, counts, placement bool) (mapchange.Rank, [][]int32, error) {
	rank, err := s.engine.Report(ctx)
	if err != nil {
		return rank, nil, err
	}
	if counts {
		if rank.Counts, err = s.engine.Counts(ctx); err != nil {
			return rank, nil, err
		}
	}
	if !placement {
		return rank, nil, nil
	}
	held, err := s.engine.Placement(ctx)
	if err != nil || held.Version != rank.Version {
		return rank, nil, err
	}
	return rank, held.Experts, nil
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	encoded := &wire.RankOrder{}
	if err := proto.Unmarshal(data, encoded); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	order := decodeOrder(encoded)
	ctx, cancel := context.WithTimeout(r.Context(), orderTimeout)
	defer cancel()
	answer, err := s.engine.SendOrder(ctx, order)
	reply := &wire.RankAnswer{Answer: int32(answer)}
	if err != nil {
		reply.Error = err.Error()
	}
	s.logOrder(r.Context(), order, answer, reply.Error)
	s.reply(w, reply)
}

// logOrder logs an order and its outcome, with the rank's state unless the rank
// accepted the order.
func (s *server) logOrder(ctx context.Context, order platform.RankOrder, answer platform.OrderAnswer, problem string) {
	fields := eventlog.Fields{
		"operation": string(order.Operation), "version": order.Version, "step": order.Step,
		"epoch": order.Epoch, "expected": order.Expected, "token": order.Token, "answer": answer.String(),
	}
	if answer != platform.OrderAccepted {
		fields["error"] = problem
		if rank, err := s.engine.Report(ctx); err == nil {
			fields["rank"] = fmt.Sprintf("%+v", rank)
		}
	}
	s.log.Decision("order sent to rank", fields)
}

func (s *server) reply(w http.ResponseWriter, message proto.Message) {
	data, err := proto.Marshal(message)
	if err != nil {
		s.log.Problem("cannot encode reply", err, nil)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	if _, err := w.Write(data); err != nil {
		s.log.Decision("cannot send reply", eventlog.Fields{"error": err.Error()})
	}
}
