//go:build scenarios

package scenarios

import (
	"bytes"
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"quetzalbend/internal/adapter/keys"
	"quetzalbend/internal/topology"
)

const (
	startLimit = 20 * time.Second // for a process to answer, and for most conditions
	pollPeriod = 20 * time.Millisecond
)

// scenario holds the running system of one script under test and the state that the
// commands of the script share.
type scenario struct {
	binaries  string
	folder    string
	network   *network
	processes *processes
	system    *topology.System
	http      *http.Client

	authority *authority  // with TLS only
	linkFiles *keys.Files // with TLS only

	platformCuts map[string]bool // failure domains cut off from the platform
	marks        map[string]time.Time
	runners      map[string]string // agent that ran a key; see resolve
	sent         map[string]*sent
	loads        map[string]*load
	background   sync.WaitGroup
}

func newScenario(binaries, folder string) *scenario {
	return &scenario{
		binaries:     binaries,
		folder:       folder,
		network:      newNetwork(),
		processes:    newProcesses(binaries, folder),
		http:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		platformCuts: make(map[string]bool),
		marks:        make(map[string]time.Time),
		runners:      make(map[string]string),
		sent:         make(map[string]*sent),
		loads:        make(map[string]*load),
	}
}

// end stops all loads and processes. If the scenario failed, it prints the ends
// of the logs.
func (sc *scenario) end(t testscript.T) {
	for _, load := range sc.loads {
		load.stop()
	}
	sc.network.close()
	sc.processes.endAll()
	sc.background.Wait()
	if failed, ok := t.(interface{ Failed() bool }); ok && failed.Failed() {
		var logs bytes.Buffer
		sc.processes.copyLogTails(&logs)
		t.Log(logs.String())
	}
}

// process returns the process of that name in the system's layout.
func (sc *scenario) process(name string) (*topology.Process, error) {
	if sc.system != nil {
		for i := range sc.system.Processes {
			if sc.system.Processes[i].Name == name {
				return &sc.system.Processes[i], nil
			}
		}
	}
	return nil, errors.Errorf("the system has no process %s", name)
}

// withPrefix returns the processes whose names begin with a prefix, such as
// engine, engine-a or engine-a1.
func (sc *scenario) withPrefix(prefix string) []*topology.Process {
	var found []*topology.Process
	for i := range sc.system.Processes {
		if strings.HasPrefix(sc.system.Processes[i].Name, prefix) {
			found = append(found, &sc.system.Processes[i])
		}
	}
	return found
}

func (sc *scenario) launch(process *topology.Process) error {
	var args []string
	if process.Subcommand != "" {
		args = append(args, process.Subcommand)
	}
	args = append(args, "--config", topology.ConfigFile(sc.folder, process.Name))
	return sc.processes.start(process.Name, process.Program, args...)
}

func (sc *scenario) ctlArguments(via string) ([]string, error) {
	if via == "" {
		via = "entry-a1"
	}
	entry, err := sc.process(via)
	if err != nil {
		return nil, err
	}
	return []string{"--server", entry.Operators, "--token-file", filepath.Join(sc.folder, "token")}, nil
}

// ctl runs quetzalbendctl outside of the script.
func (sc *scenario) ctl(args ...string) error {
	server, err := sc.ctlArguments("")
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(sc.binaries, "quetzalbendctl"), append(server, args...)...)
	output, err := command.CombinedOutput()
	return errors.Wrapf(err, "quetzalbendctl %v: %s", args, output)
}

// awaitStatus waits until a GET request to url is answered with a status.
func (sc *scenario) awaitStatus(url string, status int) error {
	return eventually(startLimit, func() error {
		response, err := sc.http.Get(url)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != status {
			return errors.Errorf("%s answers %d", url, response.StatusCode)
		}
		return nil
	})
}

// eventually calls condition until it returns nil. After limit it returns the
// last error of condition.
func eventually(limit time.Duration, condition func() error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "not within %s", limit)
		case <-ticker.C:
		}
	}
}

// splitOptions separates the arguments KEY=VALUE with one of the given keys from
// all others.
func splitOptions(args []string, keys ...string) (options map[string]string, rest []string) {
	options = make(map[string]string)
	for _, arg := range args {
		key, value, found := strings.Cut(arg, "=")
		if found && contains(keys, key) {
			options[key] = value
		} else {
			rest = append(rest, arg)
		}
	}
	return options, rest
}

func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// number returns an option as an integer, or defaultValue if it is not given.
func number(options map[string]string, key string, defaultValue int) (int, error) {
	text, ok := options[key]
	if !ok {
		return defaultValue, nil
	}
	value, err := strconv.Atoi(text)
	return value, errors.Wrapf(err, "option %s", key)
}
