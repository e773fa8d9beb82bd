package claimlog

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/port"
)

const (
	maxHistory   = 4096         // records kept to append them again
	historyAge   = time.Minute  // for how long; longer than a copy of the log is old
	settlePeriod = 2 * readWait // time in which other agents append lost records again; a read of theirs may be waiting
	maxRewrite   = 64           // records in one append
)

// eraState is what an agent needs to go on when the log comes back from an older copy of
// itself, without the newest records.
type eraState struct {
	known     bool // a page has been read
	current   int64
	history   []appliedRecord // of this era, oldest first
	lost      []appliedRecord // of earlier eras, to append again unless the log still has them
	settledAt time.Time       // from which on other agents have appended again what this one lacks
}

// appliedRecord is a record as it was read.
type appliedRecord struct {
	data string
	at   time.Time
}

func (e *eraState) remember(data []byte, now time.Time) {
	expired := 0
	for expired < len(e.history) && now.Sub(e.history[expired].at) > historyAge {
		expired++
	}
	expired = max(expired, len(e.history)+1-maxHistory)
	e.history = append(e.history[expired:], appliedRecord{string(data), now})
}

// missing returns the lost records that the log does not have in this era.
func (e *eraState) missing() [][]byte {
	present := make(map[string]bool, len(e.history))
	for _, record := range e.history {
		present[record.data] = true
	}
	var missing [][]byte
	for _, record := range e.lost {
		if !present[record.data] {
			missing = append(missing, []byte(record.data))
		}
	}
	return missing
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
		"stream": l.config.Stream, "era": page.Era, "next": page.Next, "read_to": l.claimant.Replica().Next(), "records": len(e.history),
	}).Warn("log of claims came back from a copy")
	e.lost, e.history = append(e.lost, e.history...), nil
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
		missing = l.era.missing()
	}
	l.lock.Unlock()
	if len(missing) == 0 {
		return nil
	}
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
	if len(l.era.missing()) > 0 || l.config.Now().Before(l.era.settledAt) {
		return false
	}
	l.era.lost = nil
	return true
}
