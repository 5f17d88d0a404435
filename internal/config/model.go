package config

// Model declares a model and the size and number of its replicas.
type Model struct {
	Name             string   `json:"name"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters,omitempty"`
	VMsPerReplica    int      `json:"vms_per_replica"`
	PlacesPerReplica int      `json:"places_per_replica"` // concurrent requests per replica
	Replicas         Replicas `json:"replicas"`
	Shared           bool     `json:"shared,omitempty"` // callable from other workspaces too
}
