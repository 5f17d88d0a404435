package replica

import "time"

const maxPauses = 64

// pauseLog remembers how long the latest silences lasted that ended with the VM's return.
type pauseLog struct {
	lengths []time.Duration
	lost    int // silences that were given up
}

func (l *pauseLog) add(d time.Duration) {
	l.lengths = append(l.lengths, d)
	if len(l.lengths) > maxPauses {
		l.lengths = l.lengths[1:]
	}
}

// returned is the part of silences that ended with the VM's return, a half before any is known.
func (l *pauseLog) returned() float64 {
	return float64(len(l.lengths)+1) / float64(len(l.lengths)+l.lost+2)
}

// giveUp notes a silence that has not ended within the longest wait.
func (l *pauseLog) giveUp() { l.lost = min(l.lost+1, maxPauses) }
