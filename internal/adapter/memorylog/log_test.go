package memorylog

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quetzalbend/internal/port"
)

func TestReadWaitsForAnAppend(t *testing.T) {
	log := New(Retention{})
	pages := make(chan port.Page)
	go func() {
		page, _ := log.Read(context.Background(), "s", 0, 10, time.Minute)
		pages <- page
	}()
	first, err := log.Append(context.Background(), "s", [][]byte{[]byte("a"), []byte("b")})
	assert.NilError(t, err)
	assert.Equal(t, first, int64(0))
	page := <-pages
	assert.Equal(t, len(page.Records), 2)
	assert.Equal(t, page.Next, int64(2))
}

func TestExpiredRecordsAreReported(t *testing.T) {
	now := time.Unix(0, 0)
	log := New(Retention{Age: time.Minute, Records: 3})
	log.now = func() time.Time { return now }
	for range 5 {
		_, err := log.Append(context.Background(), "s", [][]byte{[]byte("x")})
		assert.NilError(t, err)
	}
	page, err := log.Read(context.Background(), "s", 1, 10, 0)
	assert.ErrorIs(t, err, port.ErrExpired)
	assert.Equal(t, page.Oldest, int64(2))
	now = now.Add(2 * time.Minute)
	page, err = log.Read(context.Background(), "s", 5, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Oldest, int64(5))
}

// A reader that waited beyond the end of a log that had lost its newest records learnt of
// it only when its wait was over.
func TestReadThatWaitsReturnsInANewEra(t *testing.T) {
	log := New(Retention{})
	_, err := log.Append(t.Context(), "s", [][]byte{[]byte("a"), []byte("b")})
	assert.NilError(t, err)
	pages := make(chan port.Page, 1)
	go func() {
		page, err := log.Read(t.Context(), "s", 2, 10, time.Hour)
		assert.Check(t, err)
		pages <- page
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		log.LoseNewest(1)
		select {
		case page := <-pages:
			assert.Check(t, page.Era > 0)
			return poll.Success()
		default:
			return poll.Continue("the read waits")
		}
	}, poll.WithDelay(time.Millisecond))
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	assert.NilError(t, err)
	assert.Assert(t, page.Next < 2 && page.Era > 0)
}
