// Package metrics stores the metrics reported through tally and writes them for the /metrics page.
package metrics

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"
)

const (
	maxTimerMicros         = int64(10 * time.Minute / time.Microsecond) // longer durations are recorded as this one
	timerSignificantDigits = 2
)

// Reporter is a tally.StatsReporter that keeps counter totals, the latest gauge values and a histogram for each
// timer, all by series name.
type Reporter struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
	timers   map[string]*hdrhistogram.Histogram // microseconds
}

// NewReporter returns an empty Reporter.
func NewReporter() *Reporter {
	return &Reporter{
		counters: make(map[string]int64), gauges: make(map[string]float64),
		timers: make(map[string]*hdrhistogram.Histogram),
	}
}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[seriesName(name, tags)] += value
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[seriesName(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := seriesName(name, tags)
	h, ok := r.timers[key]
	if !ok {
		h = hdrhistogram.New(1, maxTimerMicros, timerSignificantDigits)
		r.timers[key] = h
	}
	_ = h.RecordValue(min(max(1, interval.Microseconds()), maxTimerMicros))
}

// ReportHistogramValueSamples implements tally.StatsReporter; moorrun uses timers instead.
func (r *Reporter) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples implements tally.StatsReporter; moorrun uses timers instead.
func (r *Reporter) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

// Capabilities implements tally.StatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.StatsReporter.
func (r *Reporter) Flush() {}

type capabilities struct{}

// Reporting implements tally.Capabilities.
func (capabilities) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (capabilities) Tagging() bool { return true }

// seriesName returns name with its tags, sorted, as name{key="value",...}.
func seriesName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, v))
	}
	slices.Sort(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}

// Write writes every series to w in the Prometheus text exposition format. Timers are written as quantiles in
// seconds and a count.
func (r *Reporter) Write(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range sortedKeys(r.counters) {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, r.counters[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(r.gauges) {
		if _, err := fmt.Fprintf(w, "%s %g\n", name, r.gauges[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(r.timers) {
		if err := writeTimer(w, name, r.timers[name]); err != nil {
			return err
		}
	}
	return nil
}

func writeTimer(w io.Writer, series string, h *hdrhistogram.Histogram) error {
	name, tags, tagged := strings.Cut(strings.TrimSuffix(series, "}"), "{")
	if tagged {
		tags += ","
	}
	for _, q := range []float64{50, 95, 99} {
		seconds := float64(h.ValueAtQuantile(q)) / float64(time.Second/time.Microsecond)
		if _, err := fmt.Fprintf(w, "%s_seconds{%squantile=\"%g\"} %g\n", name, tags, q/100, seconds); err != nil {
			return err
		}
	}
	count := name + "_seconds_count"
	if tagged {
		count += "{" + strings.TrimSuffix(tags, ",") + "}"
	}
	_, err := fmt.Fprintf(w, "%s %d\n", count, h.TotalCount())
	return err
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
