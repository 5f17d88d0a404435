package adminapi

// InForce lists the revision in force at each node.
type InForce struct {
	Nodes []NodeRevision `json:"nodes"`
}

// NodeRevision is the revision in force at one node.
type NodeRevision struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Revision   int64  `json:"revision"`
	Live       bool   `json:"live"`
}
