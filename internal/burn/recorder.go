// Package burn counts good and bad requests against the declared objectives, for the report on service-level burn:
// how fast services spend their error budgets.
package burn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/config"
)

const (
	maxRecordedMillis = 10 * 60 * 1000 // longer times are recorded as this one
	significantDigits = 2              // precision of the histograms
)

// Recorder counts this node's requests by service.
type Recorder struct {
	started   time.Time
	objective func(workspace, service string) (config.Objective, bool)

	mu       sync.Mutex
	services map[serviceKey]*service
}

type serviceKey struct{ workspace, service string }

type service struct {
	mu         sync.Mutex
	rings      []*ring
	latency    *hdrhistogram.Histogram // milliseconds
	firstToken *hdrhistogram.Histogram // milliseconds
}

// NewRecorder returns an empty Recorder. objective returns the objective of a service.
func NewRecorder(objective func(workspace, service string) (config.Objective, bool)) *Recorder {
	return &Recorder{started: clock.Now(), objective: objective, services: make(map[serviceKey]*service)}
}

func (r *Recorder) service(key serviceKey) *service {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.services[key]
	if !ok {
		s = &service{
			latency:    hdrhistogram.New(1, maxRecordedMillis, significantDigits),
			firstToken: hdrhistogram.New(1, maxRecordedMillis, significantDigits),
		}
		for _, w := range Windows {
			s.rings = append(s.rings, newRing(w))
		}
		r.services[key] = s
	}
	return s
}

// Record counts one request to the model or service with the given name.
func (r *Recorder) Record(workspace, name string, o Outcome) {
	objective, _ := r.objective(workspace, name)
	s := r.service(serviceKey{workspace, name})
	s.mu.Lock()
	defer s.mu.Unlock()
	at := clock.Since(r.started)
	for _, ring := range s.rings {
		ring.add(at, isBad(o, objective))
	}
	if o.Failed {
		return
	}
	_ = s.latency.RecordValue(clampMillis(o.Latency))
	if o.FirstToken > 0 {
		_ = s.firstToken.RecordValue(clampMillis(o.FirstToken))
	}
}

func isBad(o Outcome, objective config.Objective) bool {
	late := func(d time.Duration, limitMS int) bool {
		return limitMS > 0 && d > time.Duration(limitMS)*time.Millisecond
	}
	return o.Failed || late(o.Latency, objective.LatencyMS) || late(o.FirstToken, objective.FirstTokenMS)
}

func clampMillis(d time.Duration) int64 { return min(max(1, d.Milliseconds()), maxRecordedMillis) }

// Snapshot returns the counts of all services.
func (r *Recorder) Snapshot() []ServiceCounts {
	r.mu.Lock()
	keys := make([]serviceKey, 0, len(r.services))
	for key := range r.services {
		keys = append(keys, key)
	}
	r.mu.Unlock()
	out := make([]ServiceCounts, 0, len(keys))
	for _, key := range keys {
		out = append(out, r.counts(key))
	}
	return out
}

func (r *Recorder) counts(key serviceKey) ServiceCounts {
	s := r.service(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	objective, _ := r.objective(key.workspace, key.service)
	c := ServiceCounts{Workspace: key.workspace, Service: key.service, Objective: objective}
	at := clock.Since(r.started)
	for i, ring := range s.rings {
		sum := ring.sum(at)
		c.Windows = append(c.Windows, WindowCounts{Windows[i].Name, sum.Total, sum.Bad})
	}
	c.LatencyMS = encode(s.latency)
	c.FirstTokenMS = encode(s.firstToken)
	return c
}

func encode(h *hdrhistogram.Histogram) []byte {
	b, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return b
}
