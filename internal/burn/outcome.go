package burn

import "time"

// Outcome is the outcome of one request for its caller.
type Outcome struct {
	Failed     bool // refused, cut off or failed
	Latency    time.Duration
	FirstToken time.Duration // 0 if the answer is not a stream
}
