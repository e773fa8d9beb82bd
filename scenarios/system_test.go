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
func (sc *scenario) cmdSystem(args []string) error {
	options, rest := splitOptions(args, "domains", "entries", "engines", "services", "first", "between", "cold", "grace", "slots", "lag", "retention", "ranks", "fencing", "tls")
	if len(rest) > 0 {
		return errors.Errorf("unknown option %s", rest[0])
	}
	layout := topology.Options{Forward: sc.network.forward}
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
		sc.network.domains[topology.DomainIP(d)] = topology.DomainName(d)
	}
	if options["tls"] == "yes" {
		files, err := sc.linkKeys()
		if err != nil {
			return err
		}
		layout.Agent.LinksTLS = files
		layout.Entry.LinksTLS = files
	}
	if sc.system, err = topology.New(layout); err != nil {
		return err
	}
	return sc.bringUp()
}

// bringUp starts all processes, writes the settings and waits until all entries
// and agents are ready.
func (sc *scenario) bringUp() error {
	if err := sc.system.Write(sc.folder); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(sc.folder, "token"), []byte(topology.OperatorToken), 0o600); err != nil {
		return err
	}
	for i := range sc.system.Processes {
		if err := sc.launch(&sc.system.Processes[i]); err != nil {
			return err
		}
	}
	if err := sc.awaitStatus(sc.withPrefix("entry")[0].Operators+"/readyz", http.StatusOK); err != nil {
		return err
	}
	for _, setting := range sc.system.Settings {
		value, err := json.Marshal(setting.Value)
		if err != nil {
			return err
		}
		file := filepath.Join(sc.folder, "value.json")
		if err := os.WriteFile(file, value, 0o600); err != nil {
			return err
		}
		if err := sc.ctl("put", setting.Path, file); err != nil {
			return err
		}
	}
	return sc.allReady()
}

// allReady waits until all entries and agents are ready.
func (sc *scenario) allReady() error {
	var group errgroup.Group
	for _, process := range append(sc.withPrefix("entry"), sc.withPrefix("agent")...) {
		group.Go(func() error { return sc.awaitStatus(process.Operators+"/readyz", http.StatusOK) })
	}
	return group.Wait()
}

// resolve turns @KEY into the name of the agent whose service has run the key,
// and returns other names as they are. The first agent that is found for a key is
// remembered, even if another service runs the key later.
func (sc *scenario) resolve(name string) string {
	key, isKey := strings.CutPrefix(name, "@")
	if !isKey {
		return name
	}
	if known, ok := sc.runners[key]; ok {
		return known
	}
	for _, process := range sc.withPrefix("service") {
		got, err := truth.Read[service.Truth](context.Background(), process.Base)
		if err == nil && got.Runs[key] > 0 {
			sc.runners[key] = "agent-" + process.Name
			return sc.runners[key]
		}
	}
	return name
}

// cmdStart starts processes again: start NAME...
func (sc *scenario) cmdStart(names []string) error {
	for _, name := range names {
		process, err := sc.process(sc.resolve(name))
		if err != nil {
			return err
		}
		if err := sc.launch(process); err != nil {
			return err
		}
	}
	return nil
}

// cmdCrash ends processes with SIGKILL and waits until they have ended:
// crash NAME...
func (sc *scenario) cmdCrash(names []string) error {
	for _, name := range names {
		name = sc.resolve(name)
		if err := sc.processes.signal(name, syscall.SIGKILL); err != nil {
			return err
		}
		if _, err := sc.processes.wait(name); err != nil {
			return err
		}
	}
	return nil
}

// cmdTerm asks processes to stop with SIGTERM: term NAME...
func (sc *scenario) cmdTerm(names []string) error { return sc.signalAll(names, syscall.SIGTERM) }

// cmdFreeze suspends processes with SIGSTOP: freeze NAME...
func (sc *scenario) cmdFreeze(names []string) error { return sc.signalAll(names, syscall.SIGSTOP) }

// cmdThaw resumes frozen processes: thaw NAME...
func (sc *scenario) cmdThaw(names []string) error { return sc.signalAll(names, syscall.SIGCONT) }

func (sc *scenario) signalAll(names []string, signal syscall.Signal) error {
	for _, name := range names {
		if err := sc.processes.signal(sc.resolve(name), signal); err != nil {
			return err
		}
	}
	return nil
}

// cmdEnded waits for the end of a process and checks its exit code: ended NAME CODE.
func (sc *scenario) cmdEnded(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: ended NAME CODE")
	}
	code, err := sc.processes.wait(args[0])
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
func (sc *scenario) cmdCut(args []string) error { return sc.setCut(args, true) }

// cmdHeal undoes cmdCut.
func (sc *scenario) cmdHeal(args []string) error { return sc.setCut(args, false) }

func (sc *scenario) setCut(args []string, cut bool) error {
	if len(args) != 2 {
		return errors.New("usage: cut|heal DOMAIN DOMAIN|platform")
	}
	if args[1] != "platform" {
		sc.network.setLink(args[0], args[1], cut)
		return nil
	}
	sc.platformCuts[args[0]] = cut
	nodes := []string{}
	for _, process := range sc.system.Processes {
		if sc.platformCuts[process.FailureDomain] {
			nodes = append(nodes, process.Name, targetOf(process.Name))
		}
	}
	slices.Sort(nodes)
	return sc.setFault("platform", map[string]any{"cut": nodes})
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
func (sc *scenario) cmdFault(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: fault NAME JSON")
	}
	for _, process := range sc.withPrefix(args[0]) {
		if err := sc.setFault(process.Name, json.RawMessage(args[1])); err != nil {
			return err
		}
	}
	return nil
}

func (sc *scenario) setFault(name string, fault any) error {
	process, err := sc.process(name)
	if err != nil {
		return err
	}
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	// A stand-in that has just been started may not listen yet.
	return eventually(startLimit, func() error {
		response, err := sc.http.Post(process.Base+"/standin/fault", "application/json", bytes.NewReader(body))
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
func (sc *scenario) cmdReadiness(args []string) error {
	if len(args) != 2 {
		return errors.New("usage: readiness NAME STATUS")
	}
	process, err := sc.process(sc.resolve(args[0]))
	if err != nil {
		return err
	}
	status, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return sc.awaitStatus(process.Operators+"/readyz", status)
}
