package burn

import "time"

// Outcome is how one request ended for its caller.
type Outcome struct {
	Failed     bool // refused, cut or failed
	Latency    time.Duration
	FirstToken time.Duration // 0 when the answer is no stream
}
