package entry

import (
	"context"
	"time"

	"quetzalbend/internal/port"
)

// vmPollInterval is how often the platform's list of VMs is read.
const vmPollInterval = time.Second

// watchVMs reads the platform's list of VMs until ctx ends. While the platform is
// unavailable, the last list applies.
func (e *Entry) watchVMs(ctx context.Context) error {
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	for {
		if vms, err := e.platform.VMs(ctx); err == nil {
			e.applyVMs(vms)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// applyVMs excludes from routing the targets whose VM the platform lists as leaving,
// and fails the entry's readiness check while its own VM is leaving.
func (e *Entry) applyVMs(vms []port.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Name] = vm.State == port.VMLeaving
	}
	e.health.vmLeaving.Store(leaving[e.cfg.VM])
	table := e.tables.Table()
	if table == nil {
		return
	}
	for name, target := range table.Catalog().Targets {
		if target.VM != "" {
			e.tables.states.Get(name).SetVMLeaving(leaving[target.VM])
		}
	}
}
