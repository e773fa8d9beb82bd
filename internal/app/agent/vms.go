package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/port"
)

const vmsInterval = time.Second

// followVMs watches the platform's list for this VM until ctx ends. While the
// list cannot be read the last state stands.
func (a *Agent) followVMs(ctx context.Context) {
	var list port.VMList = platform.NewClient(platform.Config{BaseURL: a.config.Platform, Node: a.config.VM, OnlyVM: a.config.VM})
	ticker := time.NewTicker(vmsInterval)
	defer ticker.Stop()
	for {
		if vms, err := list.VMs(ctx); err == nil {
			a.takeVMs(vms)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// takeVMs notes whether this VM is leaving. One that is not listed is not: the
// list lags.
func (a *Agent) takeVMs(vms []port.VM) {
	leaving := false
	for _, vm := range vms {
		if vm.Name == a.config.VM {
			leaving = vm.State == port.VMLeaving
		}
	}
	if a.vmLeaving.Swap(leaving) != leaving {
		log.WithFields(log.Fields{"vm": a.config.VM, "leaving": leaving}).Info("platform changed the VM's state")
		a.closeGate()
	}
}
