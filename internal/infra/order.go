package infra

// Role is what a VM does in its replica group.
type Role string

const (
	// RoleNone is a VM in no group.
	RoleNone Role = ""
	// RoleLeader answers requests for the group.
	RoleLeader Role = "leader"
	// RoleWorker computes for the leader.
	RoleWorker Role = "worker"
)

// Order states the wanted end of one VM. Repeating an order is harmless.
type Order struct {
	VM         string   `json:"vm"`
	Domain     string   `json:"domain"`
	Generation int64    `json:"generation"` // the domain assignment's generation: the fence
	Group      string   `json:"group"`      // empty: leave any group; with a model, hold its weights as a spare
	GroupBirth int64    `json:"group_birth"`
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
	Places     int      `json:"places"`
	Members    []string `json:"members"` // addresses, leader first
}
