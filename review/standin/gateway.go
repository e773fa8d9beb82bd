package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// machine is a front machine with one process of quetzalbend-gateway.
type machine struct {
	name, ip, zone string
	ports          ports
	seeds          []string
	descriptors    int
	path           string // of the settings file
	store          *proxy // the machine's way to the store
	command        *exec.Cmd
	ended          chan error
}

// ports are the ports of the day, the same on all machines.
type ports struct{ front, ready, control, inner int }

// freePorts returns ports that are free on all loopback addresses now.
func freePorts() (ports, error) {
	var list []int
	for len(list) < 3 {
		listener, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return ports{}, err
		}
		defer listener.Close()
		list = append(list, listener.Addr().(*net.TCPAddr).Port)
	}
	conn, err := net.ListenPacket("udp", "0.0.0.0:0")
	if err != nil {
		return ports{}, err
	}
	defer conn.Close()
	return ports{list[0], list[1], list[2], conn.LocalAddr().(*net.UDPAddr).Port}, nil
}

// cluster is a small deployment.
type cluster struct {
	store    *store
	storeAt  string
	record   *record
	program  string
	folder   string
	ports    ports
	machines []*machine
	server   *http.Server

	descriptors int // that a process may have; 0: no limit
}

func newCluster(record *record, program string) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	free, err := freePorts()
	if err != nil {
		return nil, err
	}
	c := &cluster{store: newStore(), storeAt: listener.Addr().String(), record: record, program: program, folder: folder, ports: free}
	c.server = &http.Server{Handler: c.store}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// addMachine starts a machine with an address of its own.
func (c *cluster) addMachine(name, zone string) (*machine, error) {
	ip := func(number int) string { return fmt.Sprintf("127.77.%d.%d", os.Getpid()%250+1, number) }
	m := &machine{name: name, zone: zone, ip: ip(len(c.machines) + 1), ports: c.ports}
	for number := range 3 {
		m.seeds = append(m.seeds, fmt.Sprintf("%s:%d", ip(number+1), c.ports.control))
	}
	way, err := newProxy(m.ip+":0", c.storeAt)
	if err != nil {
		return nil, err
	}
	m.store = way
	m.path = filepath.Join(c.folder, name+".conf")
	if err := os.WriteFile(m.path, []byte(m.settings()), 0o600); err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	m.descriptors = c.descriptors
	return m, m.start(c.program, c.logPath(m))
}

func (m *machine) settings() string {
	at := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	return strings.Join([]string{
		"nodeName=" + m.name, "role=gateway", "machineClass=front", "serves=front,control", "ip=" + m.ip,
		"zone=" + m.zone, "region=r", "zones.z1=r", "zones.z2=r",
		"listen.front=" + at(m.ports.front), "listen.ready=" + at(m.ports.ready), "listen.control=" + at(m.ports.control),
		fmt.Sprintf("internalPorts=%d,%d", m.ports.inner, m.ports.inner+15),
		"seeds=" + strings.Join(m.seeds, ","), "bootstrap=true", "lossCounts=false", "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
		"limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"contractParams.seedLagS=3", "contractParams.addrReuseS=2", "contractParams.stabilityWindowMs=3000", "contractParams.ackMs=4000",
		"contractParams.catchUpS=4", "contractParams.drainMs=2000", "contractParams.graceS=8", "contractParams.lossSlackMs=200",
		"contractParams.configApplyMs=2000", "contractParams.rollbackSlackMs=250", "contractParams.maxStretchMs=5000",
		"contractParams.strictRevoke=false", "contractParams.revokeMs=5000", "contractParams.retryBudgetRatio=0.2",
		"contractParams.retryWindowS=10", "contractParams.retrySlack=92", "contractParams.coldOver=1.5", "contractParams.coldSlack=5",
		"contractParams.evacuationMs=5000", "contractParams.recoveryS=12", "contractParams.passMs=120", "contractParams.retryAfterS=0",
		"contractParams.stall_ms=1500", "contractParams.fencingRequired=true",
		"platform.address=" + m.store.address(), "platform.form=log", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.parts=8", "platform.appendMs=4.0", "platform.partMbS=20.0", "platform.readMbS=80.0", "platform.recordBytes=262144",
		"platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200", "platform.ttlMinMs=1000", "",
	}, "\n")
}

func (m *machine) start(program, logPath string) error {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command(program)
	if m.descriptors > 0 { // the limit that the platform sets
		m.command = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", m.descriptors, program))
	}
	m.command.Env = []string{"QUETZALBEND_SETTINGS=" + m.path, "PATH=" + os.Getenv("PATH")}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan error, 1)
	command, ended := m.command, m.ended
	go func() { ended <- command.Wait() }()
	return nil
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }

// ready waits until the machine says that it is ready.
func (m *machine) ready(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", m.ip, m.ports.ready))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes.
func (c *cluster) close() {
	for _, m := range c.machines {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
		<-m.ended
	}
	_ = c.server.Close()
	_ = os.RemoveAll(c.folder)
}
