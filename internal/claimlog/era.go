package claimlog

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/core/logera"
	"quetzalbend/internal/port"
)

const (
	settlePeriod = 2 * readWait // time in which other agents append lost records again; a read of theirs may be waiting
	maxRewrite   = 64           // records in one append
)

// eraState is what an agent needs to go on when the log comes back from an older copy of
// itself, without the newest records.
type eraState struct {
	known     bool // a page has been read
	current   int64
	history   logera.History
	settledAt time.Time // from which on other agents have appended again what this one lacks
}

// beginEra makes the agent read the stream again from its oldest record if the page is
// from a newer era than the records read so far, and reports whether it is. New keys are
// refused until the records that the log has lost are back, since one of them may hold the
// key. In its first era the agent has lost nothing, but others may have.
func (l *Log) beginEra(page port.Page) bool {
	l.lock.Lock()
	defer l.lock.Unlock()
	e := &l.era
	if e.known && page.Era == e.current {
		return false
	}
	if page.Era > 0 {
		e.settledAt = l.config.Now().Add(settlePeriod)
	}
	first := !e.known
	e.known, e.current = true, page.Era
	if first {
		return false
	}
	log.WithFields(log.Fields{
		"stream": l.config.Stream, "era": page.Era, "next": page.Next, "read_to": l.claimant.Replica().Next(), "records": e.history.Len(),
	}).Warn("log of claims came back from a copy")
	e.history.BeginEra()
	l.caughtUp = false
	l.enqueue(l.claimant.Reset(page.Oldest)...)
	l.wakeAll()
	return true
}

// rewriteLost appends the records that the log has lost, once the stream has been read to
// its end in this era. Records that two agents append have no effect the second time.
func (l *Log) rewriteLost(ctx context.Context, page port.Page) error {
	l.lock.Lock()
	var missing [][]byte
	if l.claimant.Replica().Next() >= page.Next {
		missing = l.era.history.Missing()
	}
	l.lock.Unlock()
	for len(missing) > 0 {
		count := min(len(missing), maxRewrite)
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := l.config.Log.Append(appendCtx, l.config.Stream, missing[:count])
		cancel()
		if err != nil {
			return err
		}
		missing = missing[count:]
	}
	return nil
}

// recovered reports whether no record that an agent knows is missing from the log. The
// caller holds the lock.
func (l *Log) recovered() bool {
	if len(l.era.history.Missing()) > 0 || l.config.Now().Before(l.era.settledAt) {
		return false
	}
	l.era.history.Forget()
	return true
}
