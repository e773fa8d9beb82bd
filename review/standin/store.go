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
	"sync"
	"time"
)

// store stands in for the platform's metadata store, as PROTOCOL.md describes it: keyed
// topics and the groups of the election. It loses nothing and answers at once.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{} // closed and replaced with each new record
	groups  map[string]*group
	server  *http.Server
	address string
}

type topic struct {
	records [][]byte          // as appended, each with its key
	newest  map[string][]byte // value by key
	offsets map[string]int64
}

// group is a group of members that share one partition.
type group struct {
	generation int64
	members    []*member // in the order of joining; the first one holds the partition
}

type member struct {
	name  string
	until time.Time
}

func newStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}, groups: map[string]*group{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.readNewest)
	mux.HandleFunc("POST /v1/log-append", s.appendRecords)
	mux.HandleFunc("POST /v1/log-join", s.join)
	mux.HandleFunc("POST /v1/log-leave", s.leave)
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux}
	go s.server.Serve(listener)
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string][]byte{}, offsets: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record and returns when the store has acknowledged it. No value deletes
// the key.
func (s *store) put(name, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	record := append([]byte{byte(len(key))}, key...)
	t.records = append(t.records, append(record, value...))
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = value
		t.offsets[key] = int64(len(t.records) - 1)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) putJSON(name, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.put(name, key, data)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(query.Get("topic")), s.changed
		end := int64(len(t.records))
		var data []byte
		data = binary.BigEndian.AppendUint64(data, uint64(end))
		data = binary.BigEndian.AppendUint64(data, 0)
		for i := from; i < end; i++ {
			data = binary.BigEndian.AppendUint32(data, uint32(len(t.records[i])))
			data = append(data, t.records[i]...)
		}
		s.mu.Unlock()
		if from < end || wait == 0 {
			w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []map[string]any{}
	for key, value := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": t.offsets[key]})
	}
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	reply(w, map[string]any{"items": items, "truncated": false, "end": len(t.records)})
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		record := data[4 : 4+length]
		data = data[4+length:]
		end := 1 + int(record[0])
		s.put(name, string(record[1:end]), append([]byte(nil), record[end:]...))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	reply(w, map[string]any{"offset": end - 1, "end": end})
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(call.Group)
	until := time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	var own *member
	for _, m := range g.members {
		if m.name == call.Member {
			own = m
		}
	}
	if own == nil {
		own = &member{name: call.Member}
		g.members = append(g.members, own)
		g.generation++
	}
	own.until = until
	parts := [][]any{}
	if g.members[0] == own {
		parts = append(parts, []any{call.Topics[0], 0, 0})
	}
	reply(w, map[string]any{"generation": g.generation, "ttlMs": call.TTLMs, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var call joinCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(call.Group)
	for _, m := range g.members {
		if m.name == call.Member {
			m.until = time.Time{}
		}
	}
	s.group(call.Group)
	reply(w, map[string]any{})
}

// group returns a group without the members whose time is over.
func (s *store) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	var kept []*member
	for _, m := range g.members {
		if time.Now().Before(m.until) {
			kept = append(kept, m)
		}
	}
	if len(kept) != len(g.members) {
		g.generation++
	}
	g.members = kept
	return g
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
