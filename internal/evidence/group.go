package evidence

import "time"

// Group is what is known of one replica group.
type Group struct {
	ID      string
	Birth   int64
	Expires time.Time // routers may use the group until then
	Running uint32
	Waiting uint32
}
