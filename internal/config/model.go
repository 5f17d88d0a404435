package config

// Model is a model and the shape of its replicas.
type Model struct {
	Name             string   `json:"name"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters,omitempty"`
	VMsPerReplica    int      `json:"vms_per_replica"`
	PlacesPerReplica int      `json:"places_per_replica"` // requests one replica runs at a time
	Replicas         Replicas `json:"replicas"`
	Shared           bool     `json:"shared,omitempty"` // other workspaces may call it
}
