// Package drains keeps the list of VMs and endpoints that operators have taken out of use.
package drains

// Drains is the object's value.
type Drains struct {
	Names map[string]Drain `json:"names"` // by name of the VM or endpoint
}

// Drain says who took something out.
type Drain struct {
	By        string `json:"by"`
	Operation string `json:"operation"`
}

// Has reports whether name is drained.
func (d Drains) Has(name string) bool {
	_, ok := d.Names[name]
	return ok
}
