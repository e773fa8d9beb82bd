package entry

import (
	"context"
	"time"

	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/port"
)

// vmInterval is how often the platform's list of VMs is read.
const vmInterval = time.Second

// watchVMs keeps the targets out of the choice whose VM the platform lists as
// leaving. While the platform is away the last list counts.
func watchVMs(ctx context.Context, list port.VMList, tables *tables) error {
	ticker := time.NewTicker(vmInterval)
	defer ticker.Stop()
	for {
		if vms, err := list.VMs(ctx); err == nil {
			markLeaving(vms, tables.Table(), tables.states)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func markLeaving(vms []port.VM, table *routing.Table, states *routing.States) {
	if table == nil {
		return
	}
	leaving := make(map[string]bool)
	for _, vm := range vms {
		leaving[vm.Name] = vm.State == port.VMLeaving
	}
	for name, target := range table.Catalog().Targets {
		if target.VM != "" {
			states.Get(name).SetVMLeaving(leaving[target.VM])
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
