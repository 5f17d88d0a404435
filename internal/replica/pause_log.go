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

// giveUp notes a silence that has not ended within the longest wait.
func (l *pauseLog) giveUp() { l.lost = min(l.lost+1, maxPauses) }
