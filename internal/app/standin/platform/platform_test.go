package platform

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	client "quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/port"
)

// start serves a platform and returns it with a client for node "n1".
func start(t *testing.T, cfg Config) (*Platform, *client.Client) {
	t.Helper()
	p := New(cfg)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, client.NewClient(client.Config{BaseURL: server.URL, Node: "n1", Timeout: 5 * time.Second})
}

func pointer[T any](value T) *T { return &value }

func TestAppendAndRead(t *testing.T) {
	_, c := start(t, Config{})
	first, err := c.Append(t.Context(), "s", [][]byte{{1, 0}, {2}})
	assert.NilError(t, err)
	assert.Equal(t, first, int64(0))
	page, err := c.Read(t.Context(), "s", 1, 10, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, page, port.Page{Records: []port.Record{{Offset: 1, Data: []byte{2}}}, Next: 2})
}

func TestExpiredReadReturnsOldestOffset(t *testing.T) {
	p, c := start(t, Config{RetentionRecords: 1})
	_, err := c.Append(t.Context(), "s", [][]byte{{1}, {2}})
	assert.NilError(t, err)
	page, err := c.Read(t.Context(), "s", 0, 10, 0)
	assert.ErrorIs(t, err, port.ErrExpired)
	assert.Equal(t, page.Oldest, int64(1))
	p.SetFaults(Faults{ExpireBefore: map[string]int64{"s": 2}})
	page, err = c.Read(t.Context(), "s", 2, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Oldest, int64(2))
}

func TestOnlyRefusalGuaranteesThatNothingWasAppended(t *testing.T) {
	for _, tc := range []struct {
		name     string
		faults   Faults
		refused  bool
		appended int64
	}{
		{"down", Faults{Down: pointer(true)}, true, 0},
		{"answer lost", Faults{LoseAnswers: pointer(1)}, false, 1},
		{"cut off", Faults{Cut: pointer([]string{"n1"})}, false, 0},
		{"late", Faults{LateAppendMS: pointer(int64(1))}, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p, c := start(t, Config{})
			p.SetFaults(tc.faults)
			_, err := c.Append(t.Context(), "s", [][]byte{{1}})
			assert.Assert(t, err != nil)
			assert.Equal(t, notAppended(err), tc.refused, "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if p.Log().Totals()["s"].Appends == tc.appended {
					return poll.Success()
				}
				return poll.Continue("not yet %d appends", tc.appended)
			})
		})
	}
}

func TestAppendRateIsLimited(t *testing.T) {
	p, c := start(t, Config{AppendsPerSecond: 1})
	var err error
	for range 20 {
		if _, err = c.Append(t.Context(), "s", [][]byte{{1}}); err != nil {
			break
		}
	}
	assert.Assert(t, notAppended(err), "%v", err)
	assert.Assert(t, p.Log().Totals()["s"].Appends < 20)
}

func TestLongPollEndsWhenPlatformGoesDown(t *testing.T) {
	p, c := start(t, Config{})
	failed := make(chan error)
	go func() {
		_, err := c.Read(context.Background(), "s", 0, 1, 20*time.Second)
		failed <- err
	}()
	p.SetFaults(Faults{Down: pointer(true)})
	assert.ErrorContains(t, <-failed, "503")
}

func TestVMListLags(t *testing.T) {
	live := []port.VM{{Name: "vm1", FailureDomain: "d1", State: port.VMLive}}
	leaving := []port.VM{{Name: "vm1", FailureDomain: "d1", State: port.VMLeaving}}
	p, c := start(t, Config{VMs: live, VMListLagMS: 60_000})
	p.SetFaults(Faults{VMs: &leaving})
	vms, err := c.VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, live)
	later, _ := p.listedVMs(time.Now().Add(2 * time.Minute))
	assert.DeepEqual(t, later, leaving)
}

func TestVMListIsFetchedAgainOnlyIfItHasChanged(t *testing.T) {
	live := []port.VM{{Name: "vm1", FailureDomain: "d1", State: port.VMLive}}
	leaving := []port.VM{{Name: "vm1", FailureDomain: "d1", State: port.VMLeaving}}
	p := New(Config{VMs: live})
	var unchanged atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		p.Handler().ServeHTTP(recorder, r)
		if recorder.Code == http.StatusNotModified {
			unchanged.Add(1)
		}
		maps.Copy(w.Header(), recorder.Header())
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	c := client.NewClient(client.Config{BaseURL: server.URL})
	for _, want := range [][]port.VM{live, live, leaving} {
		if want[0].State == port.VMLeaving {
			p.SetFaults(Faults{VMs: &leaving})
		}
		vms, err := c.VMs(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, vms, want)
	}
	assert.Equal(t, unchanged.Load(), int64(1))
}

func TestWeightsAreRateLimited(t *testing.T) {
	_, c := start(t, Config{WeightBytesPerSecond: 4 << 20, Weights: map[string]int64{"w": 1 << 20}})
	var into bytes.Buffer
	begin := time.Now()
	size, err := c.Weights(t.Context(), "w", &into)
	assert.NilError(t, err)
	assert.Equal(t, size, int64(1<<20))
	assert.Assert(t, time.Since(begin) >= 100*time.Millisecond)
}

func notAppended(err error) bool { return errors.Is(err, port.ErrNotAppended) }
