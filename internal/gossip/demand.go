package gossip

// Demand is what a node lately got to do for a model.
type Demand struct{ Waiting, Running int }
