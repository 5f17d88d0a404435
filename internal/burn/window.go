package burn

import "time"

// Window is a period up to now over which burn is reported.
type Window struct {
	Name   string
	Length time.Duration
	bucket time.Duration
}

// Windows holds the reported windows. Counts are kept in memory only, since the fleet has no disks, so a replaced VM
// starts with empty windows.
var Windows = []Window{
	{"5m", 5 * time.Minute, 10 * time.Second},
	{"1h", time.Hour, time.Minute},
	{"6h", 6 * time.Hour, 5 * time.Minute},
	{"3d", 72 * time.Hour, time.Hour},
}

// counts holds the numbers of requests in one window or bucket.
type counts struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

// ring counts requests over one window in buckets, of which the oldest is reused for the newest.
type ring struct {
	bucket  time.Duration
	buckets []counts
	index   int64 // number of the newest bucket, counted from the start of the Recorder
}

func newRing(w Window) *ring {
	return &ring{bucket: w.bucket, buckets: make([]counts, w.Length/w.bucket)}
}

func (r *ring) advance(sinceStart time.Duration) *counts {
	index := int64(sinceStart / r.bucket)
	size := int64(len(r.buckets))
	for i := max(r.index+1, index-size+1); i <= index; i++ {
		r.buckets[i%size] = counts{}
	}
	r.index = max(r.index, index)
	return &r.buckets[r.index%size]
}

func (r *ring) add(sinceStart time.Duration, bad bool) {
	b := r.advance(sinceStart)
	b.Total++
	if bad {
		b.Bad++
	}
}

func (r *ring) sum(sinceStart time.Duration) counts {
	r.advance(sinceStart)
	var out counts
	for _, b := range r.buckets {
		out.Total += b.Total
		out.Bad += b.Bad
	}
	return out
}
