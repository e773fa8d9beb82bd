package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is a record of a keyed topic.
type entry struct {
	key    string
	value  []byte
	offset int64
}

// group is a group of members that share the one partition of a topic.
type group struct {
	generation int64
	members    map[string]time.Time // end of each membership
	owner      string
	since      int64 // generation in which the owner got the partition
}

// store stands in for the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
	groups  map[string]*group
	down    bool
}

// setDown sets whether the store is down. It then gives no answer, and does nothing.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func newStore() *store {
	return &store{topics: make(map[string][]entry), changed: make(chan struct{}), groups: make(map[string]*group)}
}

// put appends a record. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := int64(len(s.topics[topic]))
	s.topics[topic] = append(s.topics[topic], entry{key, value, offset})
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the sheet's time of an answer
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/v1/log-read":
		s.read(w, r)
	case "/v1/log-newest":
		s.newest(w, r)
	case "/v1/log-append":
		s.appendRecords(w, r)
	case "/v1/log-join":
		s.join(w, r)
	case "/v1/log-leave":
		s.leave(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if int64(len(all)) > from || wait == 0 {
			s.writeRecords(w, all, from)
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

func (s *store) writeRecords(w http.ResponseWriter, all []entry, from int64) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, e := range all[min(from, int64(len(all))):] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(e.key)+len(e.value)))
		data = append(data, byte(len(e.key)))
		data = append(data, e.key...)
		data = append(data, e.value...)
	}
	_, _ = w.Write(data)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	newest := make(map[string]entry)
	all := s.topics[r.URL.Query().Get("topic")]
	for _, e := range all {
		newest[e.key] = e
	}
	s.mu.Unlock()
	items := []item{}
	for _, e := range newest {
		if len(e.value) > 0 {
			items = append(items, item{e.key, base64.StdEncoding.EncodeToString(e.value), e.offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, map[string]any{"items": items, "truncated": false, "end": len(all)})
}

func (s *store) appendRecords(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	topic, first := r.URL.Query().Get("topic"), int64(-1)
	for len(data) >= 4 {
		length := int(binary.BigEndian.Uint32(data))
		record := data[4 : 4+length]
		data = data[4+length:]
		offset := s.put(topic, string(record[1:1+record[0]]), append([]byte(nil), record[1+record[0]:]...))
		if first < 0 {
			first = offset
		}
	}
	reply(w, map[string]any{"offset": first, "end": first + 1})
}

type membership struct {
	Group  string   `json:"group"`
	Member string   `json:"member"`
	Topics []string `json:"topics"`
	TTLMs  int64    `json:"ttlMs"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var m membership
	_ = json.NewDecoder(r.Body).Decode(&m)
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[m.Group]
	if g == nil {
		g = &group{members: make(map[string]time.Time)}
		s.groups[m.Group] = g
	}
	if _, known := g.members[m.Member]; !known {
		g.generation++
	}
	g.members[m.Member] = time.Now().Add(time.Duration(m.TTLMs) * time.Millisecond)
	g.assign()
	parts := [][]any{}
	if g.owner == m.Member {
		parts = append(parts, []any{m.Topics[0], 0, 0})
	}
	reply(w, map[string]any{"generation": g.generation, "ttlMs": m.TTLMs, "parts": parts})
}

// assign gives the partition to another member once its owner is gone.
func (g *group) assign() {
	now := time.Now()
	for name, until := range g.members {
		if now.After(until) {
			delete(g.members, name)
			g.generation++
		}
	}
	if _, alive := g.members[g.owner]; alive {
		return
	}
	g.owner = ""
	for name := range g.members {
		if g.owner == "" || name < g.owner {
			g.owner = name
		}
	}
	g.since = g.generation
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var m membership
	_ = json.NewDecoder(r.Body).Decode(&m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[m.Group]; g != nil {
		delete(g.members, m.Member)
		g.generation++
		g.assign()
	}
	reply(w, map[string]any{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
