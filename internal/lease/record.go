package lease

// Record is the lease object's value.
type Record struct {
	Holder    string `json:"holder"` // empty: released
	Epoch     int64  `json:"epoch"`  // grows with every change of hands
	Operation string `json:"operation"`
	TTLMillis int64  `json:"ttl_ms"`
}
