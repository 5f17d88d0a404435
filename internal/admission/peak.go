package admission

import "time"

// peakWindow is the length of the windows over which a workspace's highest demand is kept. All places of an idle
// workspace are lent after two windows.
const peakWindow = time.Second

// peak is the highest value of the current and the previous window.
type peak struct {
	windowStart       time.Time
	current, previous int
}

func (p *peak) add(value int, now time.Time) {
	p.advance(now)
	p.current = max(p.current, value)
}

func (p *peak) advance(now time.Time) {
	switch passed := now.Sub(p.windowStart); {
	case passed >= 2*peakWindow:
		p.windowStart, p.previous, p.current = now, 0, 0
	case passed >= peakWindow:
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
}

func (p *peak) value(now time.Time) int {
	p.advance(now)
	return max(p.current, p.previous)
}
