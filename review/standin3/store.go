package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is a record of a keyed topic.
type record struct {
	key    string
	value  []byte
	offset int64
}

// topic is one partition of a keyed topic.
type topic struct {
	records []record
	newest  map[string]record
	written map[string]time.Time
}

// member is a member of a group.
type member struct {
	name string
	seen time.Time
	ttl  time.Duration
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it. It serves
// keyed topics and one group, whose only partition belongs to the member that joined first.
type store struct {
	mu         sync.Mutex
	topics     map[string]*topic
	changed    chan struct{}
	members    []member
	generation int64
	down       bool // all calls are answered with 503
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, changed: make(chan struct{})}
}

// listen serves the store at an address, and returns its address.
func (s *store) listen(address string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	listener := listen(address)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond) // what an answer takes
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen on %s: %v", address, err)
	}
	return listener
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, written: map[string]time.Time{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record; one without a value removes its key.
func (s *store) put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	r := record{key, value, int64(len(t.records))}
	t.records = append(t.records, r)
	t.written[key] = time.Now()
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return r.offset
}

// putJSON writes a record whose value is JSON.
func (s *store) putJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	s.put(name, key, data)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, end := s.changed, int64(len(t.records))
		records := append([]record(nil), t.records[min(max(from, 0), end):]...)
		s.mu.Unlock()
		if len(records) > 0 || !waiting {
			writeRecords(w, end, records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, end int64, records []record) {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(r.key)+len(r.value)))
		data = append(append(append(data, byte(len(r.key))), r.key...), r.value...)
	}
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	items, after := []map[string]any{}, r.URL.Query().Get("after")
	for key, r := range t.newest {
		if key > after {
			items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(r.value), "offset": r.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	writeJSON(w, map[string]any{"items": items, "truncated": false, "end": end})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if err != nil || len(data) < 5 || !strings.HasPrefix(name, "keyed.") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := 5 + int(data[4])
	offset := s.put(name, string(data[5:end]), data[end:])
	writeJSON(w, map[string]any{"offset": offset, "end": offset + 1})
}

type joinCall struct {
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

// expire removes the members that have sent nothing for their ttl.
func (s *store) expire() {
	kept := s.members[:0]
	for _, m := range s.members {
		if time.Since(m.seen) <= m.ttl {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(s.members) {
		s.generation++
	}
	s.members = kept
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil || len(call.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	at := -1
	for i := range s.members {
		if s.members[i].name == call.Member {
			at = i
		}
	}
	if at < 0 {
		s.members = append(s.members, member{name: call.Member})
		at = len(s.members) - 1
		s.generation++
	}
	s.members[at].seen, s.members[at].ttl = time.Now(), time.Duration(call.TTLMs)*time.Millisecond
	parts := [][]any{}
	if at == 0 {
		parts = append(parts, []any{call.Topics[0], 0, 0})
	}
	writeJSON(w, map[string]any{"generation": s.generation, "ttlMs": call.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.members[:0]
	for _, m := range s.members {
		if m.name != call.Member {
			kept = append(kept, m)
		}
	}
	s.members = kept
	s.generation++
	writeJSON(w, map[string]any{})
}
