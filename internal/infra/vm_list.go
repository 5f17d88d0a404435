package infra

import "context"

// VMState is what the platform says of a VM; its list lags behind the truth.
type VMState string

const (
	// VMLive is a VM the platform keeps.
	VMLive VMState = "live"
	// VMLeaving is a VM the platform will take away.
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// VMs returns the list as the platform last knew it.
	VMs(ctx context.Context) ([]VM, error)
}
