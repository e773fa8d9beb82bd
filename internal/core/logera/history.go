package logera

import "time"

const (
	maxRecords = 4096
	maxBytes   = 4 << 20
	maxAge     = time.Minute // longer than a copy of the log is old
)

// record is a record as it was read.
type record struct {
	data string
	at   time.Time
}

// History holds the newest records of a log. It is not safe for concurrent use.
type History struct {
	current []record // read in this era, oldest first
	bytes   int      // of current
	lost    []record // read in earlier eras
}

// Remember adds a record that was read in this era.
func (h *History) Remember(data []byte, now time.Time) {
	h.current = append(h.current, record{string(data), now})
	h.bytes += len(data)
	for h.oldestIsDue(now) {
		h.bytes -= len(h.current[0].data)
		h.current = h.current[1:]
	}
}

// oldestIsDue reports whether the oldest record is to be forgotten.
func (h *History) oldestIsDue(now time.Time) bool {
	return len(h.current) > maxRecords || h.bytes > maxBytes || now.Sub(h.current[0].at) > maxAge
}

// BeginEra makes all records count as lost until they are read again.
func (h *History) BeginEra() {
	h.lost = append(h.lost, h.current...)
	h.current, h.bytes = nil, 0
}

// Len returns the number of records of this era.
func (h *History) Len() int { return len(h.current) }

// Missing returns the records of earlier eras that were not read again, in their order.
func (h *History) Missing() [][]byte { return without(h.lost, h.current) }

// New returns the records of this era that are not among those of earlier eras.
func (h *History) New() [][]byte { return without(h.current, h.lost) }

// without returns the records that are not among others, each once.
func without(records, others []record) [][]byte {
	if len(records) == 0 {
		return nil
	}
	seen := make(map[string]bool, len(others))
	for _, r := range others {
		seen[r.data] = true
	}
	var found [][]byte
	for _, r := range records {
		if !seen[r.data] {
			seen[r.data] = true
			found = append(found, []byte(r.data))
		}
	}
	return found
}

// Forget forgets the records of earlier eras.
func (h *History) Forget() { h.lost = nil }
