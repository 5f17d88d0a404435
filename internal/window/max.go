package window

import (
	"cmp"
	"time"
)

// Max keeps the highest value in a sliding window of fixed length. Without a value the maximum is the zero value of T,
// so values must not be below it.
type Max[T cmp.Ordered] struct {
	start       time.Time // start of slice 0, a time from package clock
	sliceLength time.Duration
	current     int64
	values      [sliceCount + 1]T // one slice is partly outside the window
}

// NewMax returns a Max whose window has length span: it keeps every value for at least span, and for at most a slice
// longer. Times passed to its methods must not be before start.
func NewMax[T cmp.Ordered](span time.Duration, start time.Time) *Max[T] {
	return &Max[T]{start: start, sliceLength: max(1, span/sliceCount)}
}

// Add records a value.
func (m *Max[T]) Add(value T, now time.Time) {
	m.advance(now)
	slice := &m.values[m.current%int64(len(m.values))]
	*slice = max(*slice, value)
}

// Value returns the highest value in the window that ends at now.
func (m *Max[T]) Value(now time.Time) T {
	m.advance(now)
	var highest T
	for _, v := range m.values {
		highest = max(highest, v)
	}
	return highest
}

// advance drops the slices that have left the window.
func (m *Max[T]) advance(now time.Time) {
	count := int64(len(m.values))
	slice := int64(now.Sub(m.start) / m.sliceLength)
	var none T
	for i := max(m.current+1, slice-count+1); i <= slice; i++ {
		m.values[i%count] = none
	}
	m.current = max(m.current, slice)
}
