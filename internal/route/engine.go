package route

import (
	"time"

	"moorrun.dev/moorrun/internal/engine"
)

// Engine describes the model engines of a service, whose endpoints serve in replica groups.
type Engine struct {
	Slots          int // requests that a replica group runs at once
	Models         []Model
	LoadsPerSecond float64        // loads of weights that may begin per second, over all endpoints
	LoadsAtOnce    int            // number of concurrent loads above which they slow each other down
	FormationTime  time.Duration  // until a new replica group opens
	ReportLag      time.Duration  // age of what endpoints report of themselves; zero if unknown
	Figures        engine.Figures // published performance of the engines
}

// Model returns the model of that name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}
