package config

// Domain is a fabric domain; a replica group never reaches over two.
type Domain struct {
	Name string `json:"name"`
	VMs  []VM   `json:"vms"`
}
