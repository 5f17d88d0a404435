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
	Fingerprint string       `json:"fingerprint"`
	Endings     []KeptEnding `json:"endings"`
	HoldMillis  int64        `json:"hold_ms"`
}

// KeptEnding is one Ending, with its age when it was written.
type KeptEnding struct {
	Life      uint32 `json:"life"`
	Domain    uint32 `json:"domain"`
	AgeMillis int64  `json:"age_ms"`
}

// Keep returns the records as they are kept, those under which most endpoints have ended first.
func Keep(records []Record, now time.Time) Kept {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return len(b.Endings) - len(a.Endings) })
	k := Kept{Requests: []KeptRequest{}}
	for _, r := range sorted[:min(len(sorted), maxKept)] {
		kept := KeptRequest{Fingerprint: r.Fingerprint.String(), HoldMillis: r.Hold.Milliseconds()}
		for _, e := range r.Endings {
			kept.Endings = append(kept.Endings, KeptEnding{e.Life, e.Domain, now.Sub(e.At).Milliseconds()})
		}
		k.Requests = append(k.Requests, kept)
	}
	return k
}

// Records reads a kept list as of now.
func Records(content []byte, now time.Time) ([]Record, error) {
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
		record := Record{Fingerprint: Fingerprint(f), Hold: hold}
		for _, e := range r.Endings {
			at := now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
			record.Endings = append(record.Endings, Ending{Life: e.Life, Domain: e.Domain, At: at})
		}
		out = append(out, record)
	}
	return out, nil
}
