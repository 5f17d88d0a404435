package quarantine

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// keptError is the class of errors of what the store keeps.
var keptError = errs.Class("quarantine")

// maxKept bounds the requests in the store's object, some 30 KB of JSON.
const maxKept = 256

// Kept is the list of held requests as it lies in the platform's store, so that it outlives all nodes.
type Kept struct {
	Requests []KeptRequest `json:"requests"`
}

// KeptRequest is one held request. Clocks of different lives cannot be compared, so what was left of its hold counts from
// when it is read again.
type KeptRequest struct {
	Fingerprint string   `json:"fingerprint"`
	Endings     []Ending `json:"endings"`
	HoldMillis  int64    `json:"hold_ms"`
}

// Keep returns the records as they are kept, those under which most endpoints have ended first.
func Keep(records []Record) Kept {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return len(b.Endings) - len(a.Endings) })
	k := Kept{Requests: []KeptRequest{}}
	for _, r := range sorted[:min(len(sorted), maxKept)] {
		k.Requests = append(k.Requests, KeptRequest{r.Fingerprint.String(), r.Endings, r.Hold.Milliseconds()})
	}
	return k
}

// Records reads a kept list.
func Records(content []byte) ([]Record, error) {
	var k Kept
	if err := json.Unmarshal(content, &k); err != nil {
		return nil, keptError.Wrap(err)
	}
	out := make([]Record, 0, len(k.Requests))
	for _, r := range k.Requests {
		f, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			return nil, keptError.New("fingerprint %q is no number of 16 hexadecimal digits", r.Fingerprint)
		}
		hold := min(time.Duration(r.HoldMillis)*time.Millisecond, mostHold)
		out = append(out, Record{Fingerprint: Fingerprint(f), Endings: r.Endings, Hold: hold})
	}
	return out, nil
}
