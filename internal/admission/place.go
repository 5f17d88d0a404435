package admission

import "time"

// Place is the right to run one request on a replica group until Release.
type Place struct {
	Group string
	Birth int64

	pool        *pool
	queue       *queue
	groupPlaces *groupPlaces
	taken       time.Time
}

// Release gives the place back; it may be called once. ok reports whether the group served the request.
func (p *Place) Release(ok bool) { p.pool.release(p, ok) }
