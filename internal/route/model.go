package route

import "time"

// Model is a model that the engines of a service can run.
type Model struct {
	Name  string
	Size  int           // endpoints per replica group
	Pace  float64       // factor on the times in Engine.Figures
	Share float64       // fraction of the replica groups until the first requests arrive
	Load  time.Duration // time to load the weights from the weight store
	Warm  time.Duration // time to load the weights from the host's memory
}
