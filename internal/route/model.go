package route

import "time"

// Model is one model of an engine.
type Model struct {
	Name  string
	Size  int           // endpoints of a replica group
	Pace  float64       // factor on all its times
	Share float64       // part of the work at the start
	Load  time.Duration // from the weight store
	Warm  time.Duration // from the host's memory
}
