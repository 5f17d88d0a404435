package burn

// NodeCounts is one node's whole snapshot.
type NodeCounts struct {
	VM          string          `json:"vm"`
	Incarnation string          `json:"incarnation"`
	UptimeS     int64           `json:"uptime_s"`
	Services    []ServiceCounts `json:"services"`
	Losses      []GroupLosses   `json:"losses,omitempty"` // of the data centre whose lease it holds or held
}
