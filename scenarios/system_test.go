//go:build scenarios

package scenarios

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/app/load/truth"
	"quetzalbend/internal/app/standin/service"
	"quetzalbend/internal/topology"
)

// cmdSystem lays out a system, starts it and waits until it is ready. Without
// options it does the same as:
// system domains=3 entries=1 engines=1 services=1 first=20 between=5 cold=4
// grace=5000 slots=64 lag=0.
func (w *world) cmdSystem(args []string) error {
	options, rest := splitOptions(args, "domains", "entries", "engines", "services", "first", "between", "cold", "grace", "slots", "lag", "retention", "ranks", "fencing", "tls")
	if len(rest) > 0 {
		return errors.Errorf("unknown option %s", rest[0])
	}
	layout := topology.Options{Forward: w.network.forward}
	for _, option := range []struct {
		key          string
		into         *int
		defaultValue int
	}{
		{"domains", &layout.Domains, 3},
		{"entries", &layout.Entries, 1},
		{"engines", &layout.Engines, 1},
		{"services", &layout.Services, 1},
		{"first", &layout.Engine.FirstTokenMS, 20},
		{"between", &layout.Engine.BetweenTokensMS, 5},
		{"cold", &layout.Engine.ColdLimit, 4},
		{"slots", &layout.Engine.Slots, 64},
		{"lag", &layout.Engine.LoadLagMS, 0},
		{"retention", &layout.Platform.RetentionRecords, 0},
		{"ranks", &layout.Group.Ranks, 0},
	} {
		value, err := number(options, option.key, option.defaultValue)
		if err != nil {
			return err
		}
		*option.into = value
	}
	grace, err := number(options, "grace", 5000)
	if err != nil {
		return err
	}
	layout.Agent.GraceMS = int64(grace)
	const expertsPerRank, slotsPerRank = 4, 8
	layout.Group.Experts = expertsPerRank * layout.Group.Ranks
	layout.Group.Slots = slotsPerRank * layout.Group.Ranks
	layout.Group.ChecksFencing = options["fencing"] != "no"
	for d := range layout.Domains {
		w.network.domains[topology.DomainIP(d)] = topology.DomainName(d)
	}
	if options["tls"] == "yes" {
		files, err := w.linkKeys()
		if err != nil {
			return err
		}
		layout.Agent.LinksTLS = files
		layout.Entry.LinksTLS = files
	}
	if w.system, err = topology.New(layout); err != nil {
		return err
	}
	return w.bringUp()
}

// bringUp starts all processes, writes the settings and waits until all entries
// and agents are ready.
func (w *world) bringUp() error {
	if err := w.system.Write(w.folder); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(w.folder, "token"), []byte(topology.OperatorToken), 0o600); err != nil {
		return err
	}
	for i := range w.system.Processes {
		if err := w.launch(&w.system.Processes[i]); err != nil {
			return err
		}
	}
	if err := w.awaitStatus(w.withPrefix("entry")[0].Operators+"/readyz", http.StatusOK); err != nil {
		return err
	}
	for _, setting := range w.system.Settings {
		value, err := json.Marshal(setting.Value)
		if err != nil {
			return err
		}
		file := filepath.Join(w.folder, "value.json")
		if err := os.WriteFile(file, value, 0o600); err != nil {
			return err
		}
		if err := w.ctl("put", setting.Path, file); err != nil {
			return err
		}
	}
	return w.allReady()
}

// allReady waits until all entries and agents are ready.
func (w *world) allReady() error {
	var group errgroup.Group
	for _, process := range append(w.withPrefix("entry"), w.withPrefix("agent")...) {
		group.Go(func() error { return w.awaitStatus(process.Operators+"/readyz", http.StatusOK) })
	}
	return group.Wait()
}

// resolve turns @KEY into the name of the agent whose service has run the key,
// and returns other names as they are. The first agent that is found for a key is
// remembered, even if another service runs the key later.
func (w *world) resolve(name string) string {
	key, isKey := strings.CutPrefix(name, "@")
	if !isKey {
		return name
	}
	if known, ok := w.runners[key]; ok {
		return known
	}
	for _, process := range w.withPrefix("service") {
		got, err := truth.Read[service.Truth](context.Background(), process.Base)
		if err == nil && got.Runs[key] > 0 {
			w.runners[key] = "agent-" + process.Name
			return w.runners[key]
		}
	}
	return name
}

// cmdStart starts processes again: start NAME...
func (w *world) cmdStart(names []string) error {
	for _, name := range names {
		process, err := w.process(w.resolve(name))
		if err != nil {
			return err
		}
		if err := w.launch(process); err != nil {
			return err
		}
	}
	return nil
}

// cmdCrash ends processes with SIGKILL and waits until they have ended:
// crash NAME...
func (w *world) cmdCrash(names []string) error {
	for _, name := range names {
		name = w.resolve(name)
		if err := w.processes.signal(name, syscall.SIGKILL); err != nil {
			return err
		}
		if _, err := w.processes.wait(name); err != nil {
			return err
		}
	}
	return nil
}

// cmdTerm asks processes to stop with SIGTERM: term NAME...
func (w *world) cmdTerm(names []string) error { return w.signalAll(names, syscall.SIGTERM) }

// cmdFreeze suspends processes with SIGSTOP: freeze NAME...
func (w *world) cmdFreeze(names []string) error { return w.signalAll(names, syscall.SIGSTOP) }

// cmdThaw resumes frozen processes: thaw NAME...
func (w *world) cmdThaw(names []string) error { return w.signalAll(names, syscall.SIGCONT) }

func (w *world) signalAll(names []string, signal syscall.Signal) error {
	for _, name := range names {
		if err := w.processes.signal(w.resolve(name), signal); err != nil {
			return err
		}
	}
	return nil
}

// cmdEnded waits for the end of a process and checks its exit code: ended NAME CODE.
func (w *world) cmdEnded(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: ended NAME CODE")
	}
	code, err := w.processes.wait(args[0])
	if err != nil {
		return err
	}
	if strconv.Itoa(code) != args[1] {
		return errors.Errorf("%s ended with %d", args[0], code)
	}
	return nil
}

// cmdCut cuts failure domains off from each other or from the platform:
// cut a b, cut a platform.
func (w *world) cmdCut(args []string) error { return w.setCut(args, true) }

// cmdHeal undoes cmdCut.
func (w *world) cmdHeal(args []string) error { return w.setCut(args, false) }

func (w *world) setCut(args []string, cut bool) error {
	if len(args) != 2 {
		return errors.New("usage: cut|heal DOMAIN DOMAIN|platform")
	}
	if args[1] != "platform" {
		w.network.setLink(args[0], args[1], cut)
		return nil
	}
	w.platformCuts[args[0]] = cut
	nodes := []string{}
	for _, process := range w.system.Processes {
		if w.platformCuts[process.FailureDomain] {
			nodes = append(nodes, process.Name, targetOf(process.Name))
		}
	}
	slices.Sort(nodes)
	return w.setFault("platform", map[string]any{"cut": nodes})
}

// targetOf returns the target of an agent's process. It returns names of other
// processes as they are.
func targetOf(process string) string {
	const prefix = "agent-"
	if len(process) > len(prefix) && process[:len(prefix)] == prefix {
		return process[len(prefix):]
	}
	return process
}

// cmdFault sets faults of stand-ins: fault NAME JSON. NAME may be a prefix such
// as engine or service-a.
func (w *world) cmdFault(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: fault NAME JSON")
	}
	for _, process := range w.withPrefix(args[0]) {
		if err := w.setFault(process.Name, json.RawMessage(args[1])); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) setFault(name string, fault any) error {
	process, err := w.process(name)
	if err != nil {
		return err
	}
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	// A stand-in that has just been started may not listen yet.
	return eventually(startLimit, func() error {
		response, err := w.http.Post(process.Base+"/standin/fault", "application/json", bytes.NewReader(body))
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode/100 != 2 {
			return errors.Errorf("fault of %s: status %d", name, response.StatusCode)
		}
		return nil
	})
}

// cmdReadiness waits until /readyz of a process answers with a status:
// readiness NAME 200|503.
func (w *world) cmdReadiness(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: readiness NAME STATUS")
	}
	process, err := w.process(w.resolve(args[0]))
	if err != nil {
		return err
	}
	status, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return w.awaitStatus(process.Operators+"/readyz", status)
}
