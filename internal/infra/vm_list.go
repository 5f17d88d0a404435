package infra

import "context"

// VMState is the state of a VM according to the platform, which may be out of date.
type VMState string

const (
	// VMLive is the state of a VM that the platform keeps running.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM that the platform is going to remove.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's VM list.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of VMs, which lags behind the actual state.
type VMList interface {
	// VMs returns the list as last known to the platform.
	VMs(ctx context.Context) ([]VM, error)
}
