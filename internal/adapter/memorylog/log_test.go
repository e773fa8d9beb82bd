package memorylog

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
