//go:build scenarios

package scenarios

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// count is how often each scenario runs, to show that its result is stable.
var count = flag.Int("runs", 1, "runs of each scenario")

func TestScenarios(t *testing.T) {
	binaries, err := filepath.Abs("../bin")
	if err != nil {
		t.Fatal(err)
	}
	for range *count {
		testscript.Run(t, testscript.Params{
			Dir:                 ".",
			RequireExplicitExec: true,
			Setup: func(env *testscript.Env) error {
				env.Setenv("PATH", binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
				sc := newScenario(binaries, env.WorkDir)
				env.Values[scenarioKey] = sc
				env.Defer(func() { sc.end(env.T()) })
				return nil
			},
			Cmds: map[string]func(*testscript.TestScript, bool, []string){
				"system":    command((*scenario).cmdSystem),
				"start":     command((*scenario).cmdStart),
				"crash":     command((*scenario).cmdCrash),
				"term":      command((*scenario).cmdTerm),
				"ended":     command((*scenario).cmdEnded),
				"freeze":    command((*scenario).cmdFreeze),
				"thaw":      command((*scenario).cmdThaw),
				"cut":       command((*scenario).cmdCut),
				"heal":      command((*scenario).cmdHeal),
				"fault":     command((*scenario).cmdFault),
				"ctl":       cmdCtl,
				"send":      command((*scenario).cmdSend),
				"answer":    command((*scenario).cmdAnswer),
				"same":      command((*scenario).cmdSame),
				"load":      command((*scenario).cmdLoad),
				"endload":   command((*scenario).cmdEndLoad),
				"truth":     command((*scenario).cmdTruth),
				"await":     command((*scenario).cmdAwait),
				"race":      command((*scenario).cmdRace),
				"rekey":     command((*scenario).cmdRekey),
				"stranger":  command((*scenario).cmdStranger),
				"mark":      command((*scenario).cmdMark),
				"nowork":    command((*scenario).cmdNoWork),
				"readiness": command((*scenario).cmdReadiness),
			},
		})
	}
}

type scenarioKeyType struct{}

// scenarioKey is the key under which testscript.Env.Values holds the scenario.
var scenarioKey scenarioKeyType

// command turns a method of scenario into a testscript command. The method must
// fail if the script negates the command with "!".
func command(method func(*scenario, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		err := method(ts.Value(scenarioKey).(*scenario), args)
		switch {
		case negated && err == nil:
			ts.Fatalf("unexpected success")
		case !negated && err != nil:
			ts.Fatalf("%v", err)
		}
	}
}

// cmdCtl runs quetzalbendctl: ctl [via=ENTRY] ARGUMENTS. Scripts check its output
// with the commands stdout and stderr.
func cmdCtl(ts *testscript.TestScript, negated bool, args []string) {
	sc := ts.Value(scenarioKey).(*scenario)
	options, args := splitOptions(args, "via")
	server, err := sc.ctlArguments(options["via"])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	err = ts.Exec("quetzalbendctl", append(server, args...)...)
	if negated == (err == nil) {
		ts.Fatalf("quetzalbendctl %v: %v", args, err)
	}
}
