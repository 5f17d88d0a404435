package admission

import "time"

// Chooser prices replica groups for the choice between free places.
type Chooser interface {
	// Cost returns what choosing the group costs beside its filling, lower being better, and whether
	// routers may use the group now.
	Cost(group string, birth int64, now time.Time) (cost float64, usable bool)
}
