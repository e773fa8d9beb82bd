package maplead

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/ranklink"
	"quetzalbend/platform"
)

// scriptedRank answers each read with the next state that the test sends, or fails the
// read if the test sends nil.
type scriptedRank struct {
	asked  chan struct{}
	states chan *mapchange.Rank
}

func (s *scriptedRank) State(context.Context, fleet.Target, ranklink.StateOptions) (mapchange.Rank, [][]int32, error) {
	s.asked <- struct{}{}
	if state := <-s.states; state != nil {
		return *state, nil, nil
	}
	return mapchange.Rank{}, nil, errors.New("no answer")
}

func (s *scriptedRank) SendOrder(context.Context, fleet.Target, platform.RankOrder) (platform.OrderAnswer, error) {
	return platform.OrderUnknown, errors.New("not expected")
}

var reportTargets = []fleet.Target{{ID: "a", Address: "10.1.0.1:8000"}}

func newScriptedReports() (*reports, *scriptedRank) {
	rank := &scriptedRank{asked: make(chan struct{}, maxReads), states: make(chan *mapchange.Rank, maxReads)}
	return newReports(rank, eventlog.New(io.Discard)), rank
}

// onlyMember returns the only rank that r knows, as of now.
func onlyMember(t *testing.T, r *reports, now time.Time) member {
	t.Helper()
	members := r.members(reportTargets, now)["g"]
	assert.Equal(t, len(members), 1)
	return members[0]
}

func TestLastReportIsUsedWhileReadsFail(t *testing.T) {
	r, rank := newScriptedReports()
	rank.states <- &mapchange.Rank{Group: "g", Step: 7, Counts: []int64{1}}
	r.refresh(t.Context(), reportTargets, ranklink.StateOptions{}, readWait)
	first := onlyMember(t, r, time.Now())
	assert.Equal(t, len(first.rank.Counts), 1)
	rank.states <- nil
	r.refresh(t.Context(), reportTargets, ranklink.StateOptions{}, readWait)
	kept := onlyMember(t, r, first.readAt.Add(maxReportAge))
	assert.Equal(t, kept.rank.Step, int64(7))
	assert.Equal(t, len(kept.rank.Counts), 0, "counts were returned twice")
	assert.Equal(t, len(r.members(reportTargets, first.readAt.Add(maxReportAge+1))), 0)
}

// A leader once released a group by a report that was older than an order it had sent.
func TestReportFromBeforeAnOrderIsNotUsed(t *testing.T) {
	r, rank := newScriptedReports()
	rank.states <- &mapchange.Rank{Group: "g", Prepared: 5}
	r.refresh(t.Context(), reportTargets, ranklink.StateOptions{}, readWait)
	state := onlyMember(t, r, time.Now()).rank

	late := make(chan struct{})
	<-rank.asked
	go func() {
		defer close(late)
		r.refresh(t.Context(), reportTargets, ranklink.StateOptions{}, readWait)
	}()
	<-rank.asked
	mapchange.Apply(&state, mapchange.Order{Operation: mapchange.Arm, Version: 5, Step: 9})
	r.accepted(state, time.Now())
	rank.states <- &mapchange.Rank{Group: "g", Prepared: 5}
	<-late
	assert.Equal(t, onlyMember(t, r, time.Now()).rank.Armed, int64(5))

	r.invalidate(state.Target, time.Now())
	assert.Equal(t, len(r.members(reportTargets, time.Now())), 0)
}
