package route

import "time"

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int // an endpoint accepts from all callers together
	Engine         *Engine
}

// Engine describes the model engines of a service, whose endpoints serve in replica groups.
type Engine struct {
	Slots          int // requests that a replica group runs at once
	Models         []Model
	LoadsPerSecond float64 // loads of weights that may begin a second, over all endpoints
	LoadsAtOnce    int     // loads beyond these slow each other
	Open           time.Duration
}

// Model is one model of an engine.
type Model struct {
	Name  string
	Size  int           // endpoints of a replica group
	Pace  float64       // factor on all its times
	Share float64       // part of the work at the start
	Load  time.Duration // from the weight store
	Warm  time.Duration // from the host's memory
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
