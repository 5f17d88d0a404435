package config

// Domain is a fabric domain. All VMs of a replica group are in the same one.
type Domain struct {
	Name string `json:"name"`
	VMs  []VM   `json:"vms"`
}
