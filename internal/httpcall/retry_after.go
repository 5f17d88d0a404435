package httpcall

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// maxRetryAfter bounds the delay from a Retry-After header, so that an absurdly large number does not overflow.
const maxRetryAfter = 24 * time.Hour

// RetryAfter returns the delay in the Retry-After header of a refusal: a number of seconds, which may have a fraction. It is
// zero if the header is missing or has another form, such as a date, which is unreliable because clocks differ.
func RetryAfter(h *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(h.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
