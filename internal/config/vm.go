package config

// VM is one engine VM.
type VM struct {
	Name         string `json:"name"`
	Address      string `json:"address"` // host:port of the engine
	Accelerators int    `json:"accelerators"`
	ChecksOrders bool   `json:"checks_orders,omitempty"` // the engine refuses orders of an earlier assignment generation
}
