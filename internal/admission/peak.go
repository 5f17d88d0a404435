package admission

import "time"

// peakWindow is for how long a workspace's highest demand is remembered; an idle workspace's places are lent
// whole after two of them.
const peakWindow = time.Second

// peak is the highest value of the current and the last window.
type peak struct {
	began         time.Time
	current, last int
}

func (p *peak) add(value int, now time.Time) {
	p.roll(now)
	p.current = max(p.current, value)
}

func (p *peak) roll(now time.Time) {
	switch passed := now.Sub(p.began); {
	case passed >= 2*peakWindow:
		p.began, p.last, p.current = now, 0, 0
	case passed >= peakWindow:
		p.began, p.last, p.current = now, p.current, 0
	}
}

func (p *peak) value(now time.Time) int {
	p.roll(now)
	return max(p.current, p.last)
}
