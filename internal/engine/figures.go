// Package engine predicts how the replica groups of a service serve the requests they have, from the figures that the
// service's configuration publishes about its model engines. It does no I/O and reads no clock.
//
// An engine works in passes. In each it reads prompts that wait, as far as a bound goes, and then writes some tokens of
// every request that has been read. A request that arrives waits for the pass under way, and its first event comes at the
// end of the pass in which its prompt is read.
package engine

import "time"

const (
	// thousand and million are the units in which context and pairs are counted.
	thousand = 1e3
	million  = 1e6
)

// Figures are the published times of a service's model engines, for a model of pace 1. The zero value means that nothing
// is published.
type Figures struct {
	Step          time.Duration // to write one token of each request
	PerWriter     time.Duration // more a step for each request that is written
	ContextPerK   time.Duration // more a step for each 1,000 tokens of the context of those requests
	ReadPerSecond float64       // prompt tokens
	PairsPerM     time.Duration // more to read for each million pairs of a prompt token and one before it
	Stride        int           // steps of a pass in which something is written
}

// Known reports whether the figures are published.
func (f *Figures) Known() bool { return f.Step > 0 && f.ReadPerSecond > 0 }

// Read returns how long a prompt takes to be read, in seconds.
func (f *Figures) Read(tokens float64) float64 { return f.readAll(tokens, tokens*tokens) }

// readAll returns how long prompts take to be read that have that many tokens together, and that sum of their squares, in
// seconds. Half of the squares are the pairs of a token and one before it.
func (f *Figures) readAll(tokens, squares float64) float64 {
	return tokens/f.ReadPerSecond + squares/2/million*f.PairsPerM.Seconds()
}

// Write returns how long the steps of one pass take that writes that many requests with that many tokens of context each,
// in seconds.
func (f *Figures) Write(writers, context float64) float64 {
	step := f.Step.Seconds() + writers*f.PerWriter.Seconds() + writers*context/thousand*f.ContextPerK.Seconds()
	return float64(max(1, f.Stride)) * step
}
