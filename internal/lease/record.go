package lease

// Record is the value stored in the lease object.
type Record struct {
	Holder    string `json:"holder"`    // VM name of the holder; empty after a release
	Epoch     int64  `json:"epoch"`     // increases with every change of holder
	Operation string `json:"operation"` // ID of the write
	TTLMillis int64  `json:"ttl_ms"`    // time to live in milliseconds from the write
}
