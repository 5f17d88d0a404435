package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
)

// Options are what a Gateway works with.
type Options struct {
	Table      func() *route.Table
	Proof      func() time.Time // the table was certainly current then
	ProofLimit time.Duration    // how old the proof may be for requests with a credential
	// ProofOptional lets credentials that the newest known configuration holds count without that proof, too. What
	// that configuration does not hold is still not refused for good then: a later one may hold it.
	ProofOptional bool
	Picker        *picker.Picker
	// Quarantine holds back requests that end endpoints, and Inquiry finds out whether an endpoint has ended.
	Quarantine *quarantine.Table
	Inquiry    *quarantine.Inquiry
	Limits     retry.Limits
	Nodes      func() retry.Nodes
	Story      func(id string) Story // begins the story of a request
	Scope      tally.Scope
}

// Story takes one line for each decision on a request.
type Story interface {
	// Decision notes a decision; pairs are names and values.
	Decision(event string, failure bool, pairs ...any)
	// End ends the story; remarkable means that it has to be told whole, whether the request is one of the sample or not.
	End(remarkable bool)
}
