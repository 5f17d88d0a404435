package queueing

import (
	"math"
	"time"
)

// maxExpectedWait bounds an expected wait, so that a rate close to zero does not overflow a duration.
const maxExpectedWait = time.Hour

// ExpectedWait estimates how long a request waits behind the given number of others, from the rate at which places become free. It
// returns false if the rate is not known.
func ExpectedWait(ahead int, perSecond float64) (time.Duration, bool) {
	if ahead <= 0 {
		return 0, true
	}
	if perSecond <= 0 {
		return 0, false
	}
	return time.Duration(math.Min(float64(ahead)/perSecond, maxExpectedWait.Seconds()) * float64(time.Second)), true
}
