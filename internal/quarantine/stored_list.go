package quarantine

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// storedError is the class of errors about the stored list.
var storedError = errs.Class("quarantine")

// maxStoredRequests is the maximum number of requests in the stored list, which is about 30 KB of JSON.
const maxStoredRequests = 256

// StoredList is the list of held requests in the platform's object store, where it survives the loss of all nodes.
type StoredList struct {
	Requests []StoredRequest `json:"requests"`
}

// StoredRequest is one held request. Clocks cannot be compared across restarts of the fleet, so the remaining hold counts
// from when the list is read.
type StoredRequest struct {
	Fingerprint string         `json:"fingerprint"`
	Part        bool           `json:"part,omitempty"` // a part of a prompt, not a whole request
	Endings     []StoredEnding `json:"endings"`
	HoldMillis  int64          `json:"hold_ms"`
}

// StoredEnding is an Ending with its age at the time of writing.
type StoredEnding struct {
	InstanceHash uint32 `json:"life"`
	Domain       uint32 `json:"domain"`
	AgeMillis    int64  `json:"age_ms"`
}

// NewStoredList returns up to maxStoredRequests records in stored form, those with the most endings first.
func NewStoredList(records []Record, now time.Time) StoredList {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return len(b.Endings) - len(a.Endings) })
	list := StoredList{Requests: []StoredRequest{}}
	for _, r := range sorted[:min(len(sorted), maxStoredRequests)] {
		stored := StoredRequest{Fingerprint: r.Fingerprint.String(), Part: r.Part, HoldMillis: r.Hold.Milliseconds()}
		for _, e := range r.Endings {
			stored.Endings = append(stored.Endings, StoredEnding{e.InstanceHash, e.Domain, now.Sub(e.At).Milliseconds()})
		}
		list.Requests = append(list.Requests, stored)
	}
	return list
}

// maxEndingAge is far above the age at which an ending no longer counts.
const maxEndingAge = 30 * 24 * time.Hour

// millisUpTo converts a number of milliseconds to a Duration between 0 and limit.
func millisUpTo(n int64, limit time.Duration) time.Duration {
	return time.Duration(min(max(n, 0), limit.Milliseconds())) * time.Millisecond
}

// ParseStoredList parses a stored list; ages and remaining holds count from now.
func ParseStoredList(content []byte, now time.Time) ([]Record, error) {
	var list StoredList
	if err := json.Unmarshal(content, &list); err != nil {
		return nil, storedError.Wrap(err)
	}
	out := make([]Record, 0, len(list.Requests))
	for _, r := range list.Requests {
		f, err := strconv.ParseUint(r.Fingerprint, 16, 64)
		if err != nil {
			return nil, storedError.New("fingerprint %q is not a hexadecimal number of 16 digits", r.Fingerprint)
		}
		hold := millisUpTo(r.HoldMillis, maxHold)
		record := Record{Fingerprint: Fingerprint(f), Part: r.Part, Hold: hold}
		for _, e := range r.Endings {
			at := now.Add(-millisUpTo(e.AgeMillis, maxEndingAge))
			record.Endings = append(record.Endings, Ending{InstanceHash: e.InstanceHash, Domain: e.Domain, At: at})
		}
		out = append(out, record)
	}
	return out, nil
}
