package lease

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about stored leases.
var Error = errs.Class("lease")

const (
	// maxEpoch is far above any epoch that is reached by counting changes of the holder.
	maxEpoch = 1 << 40
	maxTTL   = time.Hour
)

// Record is the value stored in the lease object.
type Record struct {
	Holder    string `json:"holder"`    // VM name of the holder; empty after a release
	Epoch     int64  `json:"epoch"`     // increases with every change of holder
	Operation string `json:"operation"` // ID of the write
	TTLMillis int64  `json:"ttl_ms"`    // time to live in milliseconds from the write
}

// unreadableHolder stands for the holder of a lease whose record cannot be read.
const unreadableHolder = "?"

// ParseRecord parses a stored record. With an error it returns the record to go by instead: another process holds the lease for ttl, so
// that it is neither taken at once nor never.
func ParseRecord(value []byte, ttl time.Duration) (Record, error) {
	instead := Record{Holder: unreadableHolder, TTLMillis: ttl.Milliseconds()}
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return instead, Error.Wrap(err)
	}
	if r.Epoch < 0 || r.Epoch > maxEpoch || r.TTLMillis < 0 || r.TTLMillis > maxTTL.Milliseconds() {
		return instead, Error.New("epoch %d or term %d ms is out of range", r.Epoch, r.TTLMillis)
	}
	return r, nil
}
