//go:build scenarios

package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"quetzalbend/internal/topology"
)

// cmdRace creates the same account through several entries at the same time and
// checks that exactly one creation is accepted. It repeats this for ROUNDS
// accounts: race ROUNDS ENTRY ENTRY...
func (sc *scenario) cmdRace(args []string) error {
	if len(args) < 3 {
		return errors.New("usage: race ROUNDS ENTRY ENTRY [ENTRY]")
	}
	rounds, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	for round := range rounds {
		path := fmt.Sprintf("/teams/%s/accounts/race-%d", topology.Team, round)
		accepted, err := sc.raceOnce(path, round, args[1:])
		if err != nil {
			return err
		}
		if accepted != 1 {
			return errors.Errorf("round %d: %d creations of %s were accepted, want 1", round, accepted, path)
		}
	}
	return nil
}

// raceOnce creates path through all entries at the same time and returns how
// many creations are accepted.
func (sc *scenario) raceOnce(path string, round int, entries []string) (int64, error) {
	var accepted atomic.Int64
	var group sync.WaitGroup
	for i, entry := range entries {
		file := filepath.Join(sc.folder, fmt.Sprintf("race-%d.json", i))
		value := fmt.Sprintf(`{"token_sha256":"%064x","limits":{}}`, round*len(entries)+i+1000)
		if err := os.WriteFile(file, []byte(value), 0o600); err != nil {
			return 0, err
		}
		server, err := sc.ctlArguments(entry)
		if err != nil {
			return 0, err
		}
		arguments := append(server, "put", "--if-absent", path, file)
		group.Go(func() {
			if exec.Command(filepath.Join(sc.binaries, "quetzalbendctl"), arguments...).Run() == nil {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	return accepted.Load(), nil
}
