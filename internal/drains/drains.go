// Package drains stores and reads the list of VMs and endpoints that operators have taken out of use.
package drains

// Drains is the value of the stored object that lists everything drained.
type Drains struct {
	Names map[string]Drain `json:"names"` // by name of the VM or endpoint
}

// Drain records who drained a VM or endpoint, and the id of the operation.
type Drain struct {
	By        string `json:"by"`
	Operation string `json:"operation"`
}

// Has reports whether name is drained.
func (d Drains) Has(name string) bool {
	_, ok := d.Names[name]
	return ok
}
