package httpcall

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

func TestRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "3": 3 * time.Second, "0.25": 250 * time.Millisecond, "-1": 0, "NaN": 0, "Inf": maxRetryAfter, "1e300": maxRetryAfter, "soon": 0, "Thu, 03 Dec 2026 10:00:00 GMT": 0,
	} {
		var h fasthttp.ResponseHeader
		if value != "" {
			h.Set("Retry-After", value)
		}
		qt.Check(t, RetryAfter(&h), qt.Equals, want, qt.Commentf("%q", value))
	}
}
