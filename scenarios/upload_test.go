//go:build scenarios

package scenarios

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/rawanswer"
	"quetzalbend/platform"
)

// Figures of a site's failure domain with one VM for the gateway.
const (
	uploadMemoryMB = 284         // that the process may use
	uploadLink     = 125_000_000 // bytes a second of the VM's link
	uploadMaxBody  = 4 << 20     // bytes
	uploadBody     = 3 << 20     // bytes
	uploadTargets  = 3
	uploadSlots    = 6
	uploadWork     = 200 * time.Millisecond
	uploadCallers  = 33
	uploadBurst    = 56 // callers of a burst
	uploadBefore   = 6 * time.Second
	uploadBurstFor = 3 * time.Second
	uploadAfter    = 6 * time.Second
	uploadDeadline = 8 * time.Second
	uploadMaxLost  = 3 // requests that were passed on and lost
	uploadChunk    = 64 << 10
)

// uploads is a run in which callers send large bodies to one gateway process.
type uploads struct {
	*soak
	pace atomic.Int64 // bytes a second of each caller

	lock    sync.Mutex
	passed  map[string]bool // requests that have reached a target
	served  int
	refused int
	lost    []string // requests without an answer
	others  []string // answers of another status
}

func newUploads(t *testing.T) *uploads {
	u := &uploads{
		soak:   &soak{gatewayFleet: newGatewayFleet(t, "upload")},
		passed: make(map[string]bool),
	}
	u.store.PutJSON(t, platform.TopicSettings, platform.KeySettings, map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": "app.example", "pathPrefix": "/read/", "kind": "non_idempotent",
			"timeoutMs": 8000, "targetLatencyMs": 3000, "priority": 1, "service": "app", "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "app", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": uploadMaxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "account-1", "apiKeys": []string{"key-1"}}},
	})
	for i := range uploadTargets {
		slots := make(chan struct{}, uploadSlots)
		server := rawanswer.NewServer(t, func(r *http.Request) rawanswer.Answer { return u.work(r, slots) })
		u.store.PutJSON(t, platform.TopicTargets, fmt.Sprint("i-", i), map[string]any{
			"service": "app", "address": server.Address, "zone": "d1", "version": "v1", "slots": uploadSlots,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
		})
	}
	u.add("d1", map[string]string{"limits.memoryMb": strconv.Itoa(uploadMemoryMB)})
	u.waitServed(u.gateways[0], "/read/")
	return u
}

// work runs a request at a target.
func (u *uploads) work(r *http.Request, slots chan struct{}) rawanswer.Answer {
	id := r.Header.Get("Attempt-Id")
	u.lock.Lock()
	u.passed[id] = true
	u.lock.Unlock()
	slots <- struct{}{}
	defer func() { <-slots }()
	<-time.After(uploadWork)
	return rawanswer.Answer{Bytes: "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: stamp\r\nContent-Length: 4\r\n\r\ndone"}
}

// callers lets callers send one body after the other, each on its kept connection.
func (u *uploads) callers(group *sync.WaitGroup, count int, spread, length time.Duration) {
	end := time.Now().Add(length)
	for range count {
		group.Go(func() {
			caller := &uploader{uploads: u}
			for <-time.After(rand.N(spread + 1)); time.Now().Before(end); {
				id := fmt.Sprintf("upload-%d", rand.Uint64())
				status, err := caller.send(id)
				u.record(id, status, err)
				if err != nil {
					return
				}
			}
		})
	}
}

func (u *uploads) record(id string, status int, err error) {
	u.lock.Lock()
	defer u.lock.Unlock()
	switch {
	case err != nil:
		u.lost = append(u.lost, fmt.Sprintf("%s: %v, passed on: %t", id, err, u.passed[id]))
	case status == http.StatusOK:
		u.served++
	case status == http.StatusServiceUnavailable:
		u.refused++
		if u.passed[id] {
			u.others = append(u.others, fmt.Sprintf("%s was refused, but ran", id))
		}
	default:
		u.others = append(u.others, fmt.Sprintf("%s: %d", id, status))
	}
}

// uploader is a caller that keeps its connection.
type uploader struct {
	*uploads
	conn net.Conn
	in   *bufio.Reader
}

var uploadedBody = bytes.Repeat([]byte("entry "), uploadBody/len("entry "))

// send sends one request at the caller's pace.
func (c *uploader) send(id string) (int, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.gateways[0].address, time.Second)
		if err != nil {
			return 0, err
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	if err := c.conn.SetDeadline(time.Now().Add(uploadDeadline)); err != nil {
		return 0, err
	}
	_, err := fmt.Fprintf(c.conn, "POST /read/ HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nCredential: key-1\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, uploadDeadline.Milliseconds(), len(uploadedBody))
	for rest := uploadedBody; err == nil && len(rest) > 0; {
		size := min(len(rest), uploadChunk)
		pause := time.After(time.Duration(float64(size) / float64(c.pace.Load()) * float64(time.Second)))
		_, err = c.conn.Write(rest[:size])
		rest = rest[size:]
		<-pause
	}
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.Close {
		err = c.conn.Close()
		c.conn = nil
	}
	return response.StatusCode, err
}

// residentMB returns the memory of a process that is in use.
func residentMB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kB, err := strconv.Atoi(strings.Fields(rest)[0])
			return kB / 1024, err
		}
	}
	return 0, errors.New("no VmRSS")
}

// endOverMemory ends the gateway once it uses more memory than it may, as the platform does.
// It returns the most that the gateway has used when stop is closed.
func (u *uploads) endOverMemory(gateway *process, stop <-chan struct{}) int {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for most := 0; ; {
		select {
		case <-stop:
			return most
		case <-ticker.C:
		}
		used, err := residentMB(gateway.command.Process.Pid)
		if most = max(most, used); err != nil || most > uploadMemoryMB {
			_ = gateway.command.Process.Kill()
			return most
		}
	}
}

// A gateway that exceeds its memory is killed with all requests that it has taken.
func TestBodiesOfManyCallersLeaveAGatewayWithinItsMemory(t *testing.T) {
	u := newUploads(t)
	gateway, err := u.processes.get(u.gateways[0].name)
	assert.NilError(t, err)
	stop, most := make(chan struct{}), make(chan int, 1)
	go func() { most <- u.endOverMemory(gateway, stop) }()
	var callers sync.WaitGroup
	u.pace.Store(uploadLink / uploadCallers)
	u.callers(&callers, uploadCallers, time.Second, uploadBefore+uploadBurstFor+uploadAfter)
	<-time.After(uploadBefore)
	u.pace.Store(uploadLink / uploadBurst)
	u.callers(&callers, uploadBurst-uploadCallers, 0, uploadBurstFor)
	callers.Wait()
	close(stop)
	used := <-most
	u.lock.Lock()
	defer u.lock.Unlock()
	t.Logf("at most %d MB; %d served, %d refused, %d without an answer", used, u.served, u.refused, len(u.lost))
	assert.Check(t, used <= uploadMemoryMB, "the gateway used %d MB of %d", used, uploadMemoryMB)
	lost := 0
	for _, request := range u.lost {
		if strings.HasSuffix(request, "passed on: true") {
			lost++
		}
	}
	assert.Check(t, lost <= uploadMaxLost, "%d were passed on and lost: %v", lost, u.lost)
	assert.Check(t, len(u.others) == 0, "%v", u.others)
	assert.Check(t, u.served > uploadBurst, "%d served", u.served)
}
