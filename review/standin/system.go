package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gateway is a process of the gateway role of deploy/system.toml.
type gateway struct {
	name, ip, zone string
	settings       string // path of its settings file
	proxy          *proxy // between it and the store
	command        *exec.Cmd
}

// Ports that are the same on all machines; each machine has a loopback address of its own.
const (
	portFront   = 8227
	portReady   = 8220
	portControl = 8229
	portFirst   = 7340
	portLast    = 7355
)

func (g *gateway) front() string { return fmt.Sprintf("%s:%d", g.ip, portFront) }

// system is a small deployment: the store, gateways and replicas.
type system struct {
	root     string // of the repository
	folder   string // for settings files and logs
	net      string // first three bytes of all addresses
	hosts    int
	store    *store
	gateways []*gateway
	record   *os.File
	recordMu sync.Mutex
	started  time.Time
}

func newSystem(record string) (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, record: file, started: time.Now()}
	s.net = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	s.store, err = newStore(s.host())
	return s, err
}

// host returns the address of one more machine.
func (s *system) host() string {
	s.hosts++
	return fmt.Sprintf("%s.%d", s.net, s.hosts)
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *system) noteAt(at time.Time, format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", at.Sub(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// addGateway starts a gateway with a link of its own to the store.
func (s *system) addGateway(name, zone string) (*gateway, error) {
	p, err := newProxy(s.host(), s.store.address)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, ip: s.host(), zone: zone, proxy: p}
	g.settings = filepath.Join(s.folder, name+".conf")
	text := strings.Join([]string{
		"nodeName=" + name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + g.ip,
		"zone=" + zone, "region=north", "zones." + zone + "=north",
		fmt.Sprintf("listen.front=%s:%d", g.ip, portFront),
		fmt.Sprintf("listen.ready=%s:%d", g.ip, portReady),
		fmt.Sprintf("listen.control=%s:%d", g.ip, portControl),
		fmt.Sprintf("internalPorts=%d,%d", portFirst, portLast),
		"seeds=", "bootstrap=true", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"limits.memoryMb=284", "limits.maxFds=4200",
		"contractParams.addrReuseS=2", "contractParams.stabilityWindowMs=3000", "contractParams.drainMs=2000",
		"contractParams.graceS=8", "contractParams.lossSlackMs=200", "contractParams.configApplyMs=2000",
		"contractParams.retryBudgetRatio=0.2", "contractParams.retryWindowS=10", "contractParams.retrySlack=88",
		"contractParams.coldOver=1.5", "contractParams.coldSlack=5", "contractParams.fencingRequired=true",
		"platform.address=" + p.address(), "platform.form=log", "",
	}, "\n")
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.gateways = append(s.gateways, g)
	return g, s.start(g)
}

// start starts a gateway's process with the command of deploy/system.toml.
func (s *system) start(g *gateway) error {
	log, err := os.OpenFile(filepath.Join(s.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.command = exec.Command("target/quetzalbend-gateway")
	g.command.Dir = s.root
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "QUETZALBEND_SETTINGS=" + g.settings}
	g.command.Stdout, g.command.Stderr = log, log
	g.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return g.command.Start()
}

// awaitReady waits until all gateways are ready.
func (s *system) awaitReady() error {
	end := time.Now().Add(15 * time.Second)
	for _, g := range s.gateways {
		for {
			answer, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readiness", g.ip, portReady))
			if err == nil {
				answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready: %v", g.name, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// end ends all processes and deletes the folder, unless KEEP is set.
func (s *system) end() {
	for _, g := range s.gateways {
		if g.command != nil && g.command.Process != nil {
			g.command.Process.Signal(syscall.SIGCONT)
			g.command.Process.Kill()
			g.command.Wait()
		}
	}
	s.record.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}

// register writes a replica's entry, and from then on its beats until ctx ends.
func (s *system) register(ctx context.Context, r *replica, service, zone string, heartbeat time.Duration) {
	s.registerCold(ctx, r, service, zone, heartbeat, false, 0)
}

// registerCold is like register for a replica that may be cold for a time.
func (s *system) registerCold(ctx context.Context, r *replica, service, zone string, heartbeat time.Duration, cold bool, period time.Duration) {
	started := time.Now()
	beat := func(sequence int) {
		remaining := 0.0
		if cold {
			remaining = max(0, float64((period - time.Since(started)).Milliseconds()))
		}
		s.store.putJSON("keyed.servers", r.id, map[string]any{
			"service": service, "address": r.address, "zone": zone, "version": "v1", "slots": 6, "state": "ready",
			"coldRemainingMs": remaining, "sequence": sequence, "born": started.UnixMilli(),
		})
	}
	beat(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeat):
				beat(sequence)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// answer is what a client has got.
type answer struct {
	id, path string
	gateway  *gateway
	sent     time.Time
	took     time.Duration
	status   int // 0: none
	stamp    string
	body     string
	err      error
}

var requestNumber atomic.Int64

// send sends one request on a new connection.
func send(g *gateway, method, path, key string, deadline time.Duration) answer {
	got := answer{id: fmt.Sprintf("%x-%d", os.Getpid(), requestNumber.Add(1)), path: path, gateway: g, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = io.NopCloser(strings.NewReader("body of " + got.id))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+g.front()+path, body)
	if err != nil {
		got.err = err
		return got
	}
	request.Host = "app.example"
	request.Header.Set("Attempt-Id", got.id)
	request.Header.Set("Credential", key)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	response, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		response.Body.Close()
		got.status, got.stamp, got.body = response.StatusCode, response.Header.Get("Server-Stamp"), string(data)
	}
	got.err, got.took = err, time.Since(got.sent)
	return got
}
