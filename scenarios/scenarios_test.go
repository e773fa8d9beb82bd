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
				w := newWorld(binaries, env.WorkDir)
				env.Values[worldKey] = w
				env.Defer(func() { w.end(env.T()) })
				return nil
			},
			Cmds: map[string]func(*testscript.TestScript, bool, []string){
				"system":    command((*world).cmdSystem),
				"start":     command((*world).cmdStart),
				"crash":     command((*world).cmdCrash),
				"term":      command((*world).cmdTerm),
				"ended":     command((*world).cmdEnded),
				"freeze":    command((*world).cmdFreeze),
				"thaw":      command((*world).cmdThaw),
				"cut":       command((*world).cmdCut),
				"heal":      command((*world).cmdHeal),
				"fault":     command((*world).cmdFault),
				"ctl":       cmdCtl,
				"send":      command((*world).cmdSend),
				"answer":    command((*world).cmdAnswer),
				"same":      command((*world).cmdSame),
				"load":      command((*world).cmdLoad),
				"endload":   command((*world).cmdEndLoad),
				"truth":     command((*world).cmdTruth),
				"await":     command((*world).cmdAwait),
				"race":      command((*world).cmdRace),
				"rekey":     command((*world).cmdRekey),
				"stranger":  command((*world).cmdStranger),
				"mark":      command((*world).cmdMark),
				"nowork":    command((*world).cmdNoWork),
				"readiness": command((*world).cmdReadiness),
			},
		})
	}
}

type worldKeyType struct{}

// worldKey is the key under which testscript.Env.Values holds the world.
var worldKey worldKeyType

// command turns a method of world into a testscript command. The method must
// fail if the script negates the command with "!".
func command(method func(*world, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, negated bool, args []string) {
		err := method(ts.Value(worldKey).(*world), args)
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
	w := ts.Value(worldKey).(*world)
	options, args := splitOptions(args, "via")
	server, err := w.ctlArguments(options["via"])
	if err != nil {
		ts.Fatalf("%v", err)
	}
	err = ts.Exec("quetzalbendctl", append(server, args...)...)
	if negated == (err == nil) {
		ts.Fatalf("quetzalbendctl %v: %v", args, err)
	}
}
