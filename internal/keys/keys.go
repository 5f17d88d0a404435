// Package keys defines the keys of the objects that moorrun uses in the platform's object store.
package keys

const (
	// Root is the prefix of all objects that moorrun itself writes.
	Root = "moorrun/"
	// State is the prefix of the objects that relays watch and distribute to nodes.
	State = Root + "state/"
	// Head is the object whose conditional update makes a configuration the accepted one.
	Head = State + "head"
	// Drains is the object that lists the VMs and endpoints that operators have taken out of use.
	Drains = State + "drains"
	// Domains is the prefix of the assignments of the fabric domains, by domain name.
	Domains = State + "domains/"
	// Nodes is the prefix of the registrations of moorrund processes, by data centre and VM.
	Nodes = State + "nodes/"
	// Parts is the prefix of the parts of configurations, by part and operation.
	Parts = Root + "parts/"
	// Leases is the prefix of the leases of the data centres, by data centre.
	Leases = Root + "leases/"
)

// Domain returns the key of the assignment of a fabric domain.
func Domain(name string) string { return Domains + name }

// Node returns the key of the registration of the moorrund process on a VM.
func Node(dataCentre, vm string) string { return Nodes + dataCentre + "/" + vm }

// Lease returns the key of the lease of a data centre.
func Lease(dataCentre string) string { return Leases + dataCentre }

const (
	// Accepted is the prefix of the configuration that the platform itself has accepted.
	Accepted = "accepted/"
	// Endpoints is the prefix of the platform's entries for endpoints, by endpoint ID.
	Endpoints = "endpoints/"
	// Evacuations is the prefix of the data centres that operators have taken out of use, by name.
	Evacuations = "evacuations/"
	// Gateways is the prefix of the registrations of the nodes that forward requests to a platform's endpoints, by VM.
	Gateways = Root + "gateways/"
	// Quarantine is the prefix of the objects about requests that are held back.
	Quarantine = Root + "quarantine/"
	// Held is the object that lists the requests that are held back.
	Held = Quarantine + "held"
)
