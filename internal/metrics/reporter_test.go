package metrics_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/metrics"
)

func TestTimerSeriesCombineTagsAndQuantile(t *testing.T) {
	r := metrics.NewReporter()
	r.ReportTimer("answer", map[string]string{"zone": "z"}, 2*time.Second)
	r.ReportTimer("plain", nil, time.Second)
	var out strings.Builder
	qt.Assert(t, r.Write(&out), qt.IsNil)
	for _, line := range []string{`answer_seconds{zone="z",quantile="0.5"} 2`, `answer_seconds_count{zone="z"} 1`, `plain_seconds_count 1`} {
		qt.Check(t, strings.Contains(out.String(), line), qt.IsTrue, qt.Commentf("%s in %s", line, out.String()))
	}
	qt.Check(t, strings.Contains(out.String(), `plain_seconds{quantile="0.99"} `), qt.IsTrue)
}
