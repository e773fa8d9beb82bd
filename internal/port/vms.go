package port

import "context"

// VMState is the platform's view of a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one item of the platform's list of VMs, which lags behind the actual
// state.
type VM struct {
	Name          string  `json:"name"`
	FailureDomain string  `json:"failure_domain"`
	State         VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
