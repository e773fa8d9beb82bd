package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLinesCarryTheirFields(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	finish := log.Start()
	log.State("map in force", Fields{"version": 7})
	log.Decision("request ended", Fields{"request": "r1", "outcome": "answered"})
	finish()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	var line struct {
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}
	assert.NilError(t, json.Unmarshal([]byte(lines[1]), &line))
	assert.Equal(t, line.Message, "request ended")
	assert.Equal(t, line.Fields["outcome"], "answered")
}

// blockedWriter blocks in Write forever.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

func TestBlockedWriterDoesNotBlockCallers(t *testing.T) {
	log := New(blockedWriter{})
	log.Start()
	done := make(chan struct{})
	go func() {
		for range 3 * queueLines {
			log.State("state", nil)
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("State blocked on the writer")
	}
	assert.Assert(t, log.Dropped() > 0)
}

func TestDecisionsAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	log := New(&out)
	now := time.Now()
	allowed := 0
	for range 10 * linesPerSecond {
		if log.allow(now) {
			allowed++
		}
	}
	assert.Equal(t, allowed, linesPerSecond)
}
