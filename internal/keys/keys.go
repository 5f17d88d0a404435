// Package keys names the objects moorrun keeps in the platform's store.
package keys

const (
	// Root is the prefix of everything that is moorrun's.
	Root = "moorrun/"
	// State is the prefix that relays watch and pass on.
	State = Root + "state/"
	// Head is the object whose conditional update accepts a configuration.
	Head = State + "head"
	// Drains is the object that names VMs and endpoints operators have taken out.
	Drains = State + "drains"
	// Domains is the prefix of the fabric domains' assignments.
	Domains = State + "domains/"
	// Nodes is the prefix of the registered moorrund processes.
	Nodes = State + "nodes/"
	// Parts is the prefix of the configuration's parts.
	Parts = Root + "parts/"
	// Leases is the prefix of the data centres' leases.
	Leases = Root + "leases/"
)

// Domain returns the key of a fabric domain's assignment.
func Domain(name string) string { return Domains + name }

// Node returns the key of a registered process.
func Node(dataCentre, vm string) string { return Nodes + dataCentre + "/" + vm }

// Lease returns the key of a data centre's lease.
func Lease(dataCentre string) string { return Leases + dataCentre }

const (
	// Accepted is the prefix of the configuration that the platform has accepted by itself.
	Accepted = "accepted/"
	// Endpoints is the prefix of the platform's entries of endpoints, by ID.
	Endpoints = "endpoints/"
	// Evacuations is the prefix of the data centres that operators have taken out of use, each by its name.
	Evacuations = "evacuations/"
	// Gateways is the prefix of the registered nodes before a platform's endpoints.
	Gateways = Root + "gateways/"
	// Quarantine is the prefix of what is kept of requests that are held back.
	Quarantine = Root + "quarantine/"
	// Held is the object that lists the requests that are held back.
	Held = Quarantine + "held"
)
