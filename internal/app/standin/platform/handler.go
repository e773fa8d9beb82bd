package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/port"
)

const (
	maxBodyBytes   = 16 << 20
	maxReadRecords = 1000
	maxPageBytes   = 8 << 20
	maxWait        = 30 * time.Second
	weightChunk    = 64 << 10
)

// Handler returns the HTTP interface of docs/STANDINS.md.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", p.withFaults(p.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", p.withFaults(p.handleRead))
	mux.HandleFunc("GET /v1/vms", p.withFaults(p.handleVMs))
	mux.HandleFunc("GET /v1/weights/{name}", p.withFaults(p.handleWeights))
	mux.HandleFunc("GET /standin/truth", p.handleTruth)
	mux.HandleFunc("POST /standin/fault", p.handleFault)
	return mux
}

// withFaults injects the faults that affect every call before it takes effect.
func (p *Platform) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults, _ := p.currentFaults()
		if faults.delay > 0 && !pause.For(r.Context(), faults.delay) {
			return
		}
		faults, _ = p.currentFaults()
		if !answerable(faults, w, r) {
			return
		}
		next(w, r)
	}
}

// answerable reports whether a call may be answered. It refuses the call while
// the platform is down, and breaks the connection of a node that is cut off.
func answerable(faults faultState, w http.ResponseWriter, r *http.Request) bool {
	if slices.Contains(faults.cut, r.Header.Get(client.NodeHeader)) {
		panic(http.ErrAbortHandler)
	}
	if faults.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	var request client.AppendRequest
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&request); err != nil || len(request.Records) == 0 {
		http.Error(w, "want {\"records\":[…]}", http.StatusBadRequest)
		return
	}
	if !p.appends.take(time.Now()) {
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	stream := r.PathValue("stream")
	faults, _ := p.currentFaults()
	if faults.lateAppend > 0 {
		time.AfterFunc(faults.lateAppend, func() {
			_, _ = p.log.Append(context.Background(), stream, request.Records)
		})
		http.Error(w, "timeout", http.StatusGatewayTimeout)
		return
	}
	first, err := p.log.Append(r.Context(), stream, request.Records)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if p.takeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, client.AppendAnswer{FirstOffset: first})
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 0 {
		http.Error(w, "from: want an offset", http.StatusBadRequest)
		return
	}
	limit := queryNumber(r, "limit", maxReadRecords)
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	wait := min(time.Duration(queryNumber(r, "wait_ms", 0))*time.Millisecond, maxWait)
	page, err := p.readUnlessCut(r, from, limit, wait)
	faults, _ := p.currentFaults()
	if !answerable(faults, w, r) {
		return
	}
	answer := client.ReadAnswer{Oldest: page.Oldest, Next: page.Next, Era: page.Era}
	if errors.Is(err, port.ErrExpired) {
		writeJSON(w, http.StatusGone, answer)
		return
	}
	size := 0
	for _, record := range page.Records {
		size += len(record.Data)
		if size > maxPageBytes && len(answer.Records) > 0 {
			break
		}
		answer.Records = append(answer.Records, client.RecordAnswer{Offset: record.Offset, Data: record.Data})
	}
	writeJSON(w, http.StatusOK, answer)
}

// readUnlessCut reads a page. It stops waiting for records once the platform is
// down or the caller is cut off.
func (p *Platform) readUnlessCut(r *http.Request, from int64, limit int, wait time.Duration) (port.Page, error) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		for {
			faults, changed := p.currentFaults()
			if faults.down || slices.Contains(faults.cut, r.Header.Get(client.NodeHeader)) {
				cancel()
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return p.log.Read(ctx, r.PathValue("stream"), from, limit, wait)
}

func (p *Platform) handleVMs(w http.ResponseWriter, r *http.Request) {
	vms, version := p.listedVMs(time.Now())
	if name := r.URL.Query().Get("name"); name != "" {
		vms = slices.DeleteFunc(slices.Clone(vms), func(vm port.VM) bool { return vm.Name != name })
	}
	if vms == nil {
		vms = []port.VM{}
	}
	tag := strconv.Quote(strconv.Itoa(version))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, client.VMsAnswer{VMs: vms})
}

func (p *Platform) handleWeights(w http.ResponseWriter, r *http.Request) {
	size, ok := p.sizes[r.PathValue("name")]
	if !ok {
		http.Error(w, "no such weights", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	chunk := make([]byte, weightChunk)
	for size > 0 {
		part := min(size, weightChunk)
		if !pause.For(r.Context(), p.weights.reserve(time.Now(), float64(part))) {
			return
		}
		if _, err := w.Write(chunk[:part]); err != nil {
			return
		}
		size -= part
	}
}

func (p *Platform) handleTruth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, Truth{Streams: p.log.Totals()})
}

func (p *Platform) handleFault(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// queryNumber returns a query parameter as an integer, or defaultValue if the
// parameter is missing or not an integer.
func queryNumber(r *http.Request, name string, defaultValue int) int {
	number, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return defaultValue
	}
	return number
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
