package entry

import (
	"context"
	"time"

	"quetzalbend/internal/port"
)

// vmInterval is how often the platform's list of VMs is read.
const vmInterval = time.Second

// watchVMs takes in the platform's list of VMs until ctx ends. While the
// platform is away the last list counts.
func (e *Entry) watchVMs(ctx context.Context) error {
	ticker := time.NewTicker(vmInterval)
	defer ticker.Stop()
	for {
		if vms, err := e.platform.VMs(ctx); err == nil {
			e.noteVMs(vms)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// noteVMs keeps the targets out of the choice whose VM the platform lists as
// leaving, and fails readiness if the entry's own VM leaves.
func (e *Entry) noteVMs(vms []port.VM) {
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

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
