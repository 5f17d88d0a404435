package shares

// Demand is the demand of one workspace for places.
type Demand struct {
	Share  int // weight, at least 1
	Places int // number of places it can use now
}
