package burn

import "time"

// Window is a length of time over which burn is reported.
type Window struct {
	Name   string
	Length time.Duration
	bucket time.Duration
}

// Windows are the reported windows. A replaced VM starts with empty ones: the fleet has no disks.
var Windows = []Window{
	{"5m", 5 * time.Minute, 10 * time.Second},
	{"1h", time.Hour, time.Minute},
	{"6h", 6 * time.Hour, 5 * time.Minute},
	{"3d", 72 * time.Hour, time.Hour},
}

// counts are the requests of one window or bucket.
type counts struct {
	Total int64 `json:"total"`
	Bad   int64 `json:"bad"`
}

// ring counts over one window in buckets.
type ring struct {
	bucket  time.Duration
	buckets []counts
	index   int64 // number of the newest bucket since the epoch of the process's clock
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
