package burn

// NodeCounts holds the counts and losses recorded by one node.
type NodeCounts struct {
	VM          string          `json:"vm"`
	Incarnation string          `json:"incarnation"`
	UptimeS     int64           `json:"uptime_s"`
	Services    []ServiceCounts `json:"services"`
	Losses      []GroupLosses   `json:"losses,omitempty"` // in the data centre whose lease the node holds or has held
}
