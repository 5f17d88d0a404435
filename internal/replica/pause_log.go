package replica

import "time"

const maxPauses = 64

// pauseLog records the lengths of the latest maxPauses silences that ended with the VM's return, and how many
// silences exceeded the longest wait.
type pauseLog struct {
	lengths []time.Duration
	lost    int // silences that exceeded Policy.MaxWait, at most maxPauses
}

func (l *pauseLog) add(d time.Duration) {
	l.lengths = append(l.lengths, d)
	if len(l.lengths) > maxPauses {
		l.lengths = l.lengths[1:]
	}
}

// returnedFraction estimates the fraction of silences that end with the VM's return; 0.5 before any is recorded.
func (l *pauseLog) returnedFraction() float64 {
	return float64(len(l.lengths)+1) / float64(len(l.lengths)+l.lost+2)
}

// addLost records a silence that exceeded the longest wait.
func (l *pauseLog) addLost() { l.lost = min(l.lost+1, maxPauses) }
