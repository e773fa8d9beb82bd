package agent

import (
	"context"
	"time"

	"github.com/apex/log"

	"quetzalbend/internal/adapter/platform"
	"quetzalbend/internal/port"
)

// vmPollInterval is how often the platform's list of VMs is read.
const vmPollInterval = time.Second

// followVMs watches this VM in the platform's list until ctx ends. While the
// list cannot be read, the last known state applies.
func (a *Agent) followVMs(ctx context.Context) {
	var list port.VMList = platform.NewClient(platform.Config{BaseURL: a.config.Platform, Node: a.config.VM, OnlyVM: a.config.VM})
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	for {
		if vms, err := list.VMs(ctx); err == nil {
			a.applyVMs(vms)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// applyVMs records whether this VM is leaving. A VM that is not listed is not
// leaving, since the list lags.
func (a *Agent) applyVMs(vms []port.VM) {
	leaving := false
	for _, vm := range vms {
		if vm.Name == a.config.VM {
			leaving = vm.State == port.VMLeaving
		}
	}
	if a.vmLeaving.Swap(leaving) != leaving {
		log.WithFields(log.Fields{"vm": a.config.VM, "leaving": leaving}).Info("platform changed the VM's state")
		a.updateGate()
	}
}
