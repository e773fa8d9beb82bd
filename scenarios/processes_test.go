//go:build scenarios

package scenarios

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// process is a program of this project that a scenario has started.
type process struct {
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// processes starts and signals the processes of one scenario.
type processes struct {
	binaries string // folder of the programs
	logs     string // folder of the log files, with standard output and error

	lock   sync.Mutex
	byName map[string]*process
}

func newProcesses(binaries, logs string) *processes {
	return &processes{binaries: binaries, logs: logs, byName: make(map[string]*process)}
}

// start runs a program under a name. A name may be started again after its
// process has ended.
func (p *processes) start(name, program string, args ...string) error {
	return p.startWithEnv(nil, name, program, args...)
}

// startWithEnv is like start, but adds variables to the program's environment.
func (p *processes) startWithEnv(env []string, name, program string, args ...string) error {
	p.lock.Lock()
	defer p.lock.Unlock()
	if old := p.byName[name]; old != nil && old.running() {
		return errors.Errorf("%s is already running", name)
	}
	log, err := os.OpenFile(filepath.Join(p.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	command := exec.Command(filepath.Join(p.binaries, program), args...)
	command.Stdout = log
	command.Stderr = log
	if len(env) > 0 {
		command.Env = append(os.Environ(), env...)
	}
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	started := &process{command: command, ended: make(chan struct{})}
	p.byName[name] = started
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(started.ended)
	}()
	return nil
}

func (p *processes) get(name string) (*process, error) {
	p.lock.Lock()
	defer p.lock.Unlock()
	found, ok := p.byName[name]
	if !ok {
		return nil, errors.Errorf("no process %s", name)
	}
	return found, nil
}

// signal sends a signal to a running process.
func (p *processes) signal(name string, signal syscall.Signal) error {
	found, err := p.get(name)
	if err != nil {
		return err
	}
	if !found.running() {
		return errors.Errorf("%s has ended", name)
	}
	return found.command.Process.Signal(signal)
}

// wait waits for a process to end and returns its exit code, or -1 if a signal
// ended it.
func (p *processes) wait(name string) (int, error) {
	found, err := p.get(name)
	if err != nil {
		return 0, err
	}
	<-found.ended
	return found.command.ProcessState.ExitCode(), nil
}

// endAll kills all processes that still run and waits for them.
func (p *processes) endAll() {
	p.lock.Lock()
	defer p.lock.Unlock()
	for _, running := range p.byName {
		if running.running() {
			_ = running.command.Process.Kill()
		}
		<-running.ended
	}
}

// copyLogTails writes the end of each log to w.
func (p *processes) copyLogTails(w io.Writer) {
	const tail = 600 // bytes
	files, _ := filepath.Glob(filepath.Join(p.logs, "*.log"))
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil || len(data) == 0 {
			continue
		}
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		_, _ = io.WriteString(w, "-- "+filepath.Base(file)+"\n"+string(data)+"\n")
	}
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
