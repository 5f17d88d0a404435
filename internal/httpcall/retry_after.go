package httpcall

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// mostRetryAfter bounds what Retry-After can ask for, so that a nonsensical number does not overflow.
const mostRetryAfter = 24 * time.Hour

// RetryAfter returns the header's value in a refusal: seconds, fractions included. It is zero if the
// header is missing or holds anything else, such as a date, which clocks that differ can't settle.
func RetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, mostRetryAfter.Seconds()) * float64(time.Second))
}
