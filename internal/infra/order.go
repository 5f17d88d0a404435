package infra

// Role is the role of a VM in its replica group.
type Role string

const (
	// RoleNone is the role of a VM that is in no group.
	RoleNone Role = ""
	// RoleLeader is the role of the VM that receives and answers the requests of the group.
	RoleLeader Role = "leader"
	// RoleWorker is the role of a VM that computes on behalf of the leader.
	RoleWorker Role = "worker"
)

// Order is the desired state of one VM. Orders are idempotent.
type Order struct {
	VM         string   `json:"vm"`
	Domain     string   `json:"domain"`
	Generation int64    `json:"generation"`  // generation of the domain's assignment; a fencing token for engines that check it
	Group      string   `json:"group"`       // empty: be in no group; if Model is set, keep its weights loaded as a spare
	GroupBirth int64    `json:"group_birth"` // generation at which the group's VMs or model last changed
	Role       Role     `json:"role"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters,omitempty"`
	Places     int      `json:"places"`  // number of requests that the group runs concurrently
	Members    []string `json:"members"` // addresses of the group's VMs, leader first
}
