package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/queueing"
)

// overloads holds the present overloads by service and model.
type overloads struct {
	mu     sync.Mutex
	models map[servedModel]*queueing.Overload
}

type servedModel struct{ service, model string }

// recordOverload counts a request that was refused for lack of a place, and logs that an overload begins.
func (g *Gateway) recordOverload(m servedModel, after time.Duration, now time.Time) {
	g.overloads.mu.Lock()
	defer g.overloads.mu.Unlock()
	if g.overloads.models == nil {
		g.overloads.models = make(map[servedModel]*queueing.Overload)
	}
	o, ok := g.overloads.models[m]
	if !ok {
		o = &queueing.Overload{}
		g.overloads.models[m] = o
	}
	if o.Refuse(after, now) && g.Logger != nil {
		waiting, perSecond := g.Picker.Queue(m.service, m.model, now)
		_ = level.Warn(g.Logger).Log("msg", "overload of a model begins", "service", m.service, "model", m.model, "waiting", waiting, "releases_per_second", perSecond)
	}
}

// Sweep logs the overloads that have ended, and updates the metrics of waiting requests and missed appointments.
func (g *Gateway) Sweep(now time.Time) {
	g.metrics.missed.Inc(int64(g.Picker.TakeMissedAppointments()))
	g.overloads.mu.Lock()
	defer g.overloads.mu.Unlock()
	for m, o := range g.overloads.models {
		waiting, _ := g.Picker.Queue(m.service, m.model, now)
		g.metrics.setWaiting(m, waiting)
		ended, ok := o.End(now)
		if !ok {
			continue
		}
		delete(g.overloads.models, m)
		g.metrics.setWaiting(m, 0)
		if g.Logger != nil {
			_ = level.Info(g.Logger).Log("msg", "overload of a model ends", "service", m.service, "model", m.model, "refused", ended.Refused, "ms", now.Sub(ended.Began).Milliseconds())
		}
	}
}

// placeReason returns the reason, as used in metric labels, for which a request got no place.
func placeReason(err error) string {
	var held *heldError
	var paused *picker.PausedError
	switch {
	case errors.As(err, &held):
		return "held-back"
	case errors.As(err, &paused):
		return "paused"
	case errors.Is(err, picker.ErrNoEndpoint):
		return "no-group"
	case errors.Is(err, picker.ErrNoPlace):
		return "no-place"
	default:
		return "other"
	}
}
