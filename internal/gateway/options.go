package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
)

// Options configures a Gateway.
type Options struct {
	// Configuration returns the configuration in force, or nil if there is none, and a time as of which it is certainly current.
	Configuration func() (t *route.Table, provedAt time.Time)
	ProofLimit    time.Duration // longest age of the proof for requests that need a credential
	// ProofOptional accepts credentials of the newest configuration received even if it cannot be proved current. Routes and
	// credentials missing from it are then still refused as NotRun rather than for good, since a newer one may contain them.
	ProofOptional bool
	Picker        *picker.Picker
	// Quarantine holds back requests under which endpoints have ended. Investigator determines whether an endpoint has ended.
	Quarantine   *quarantine.Table
	Investigator *quarantine.Investigator
	Limits       retry.Limits
	Nodes        func() retry.Nodes
	Started      time.Time                  // when the process started
	Stop         func() Stop                // the planned stop of the process; nil if it is never stopped
	RequestLog   func(id string) RequestLog // returns the log of a new request
	Scope        tally.Scope
}

// RequestLog is the log of one request, with an entry for each decision on it.
type RequestLog interface {
	// Decision logs a decision; pairs are alternating keys and values.
	Decision(event string, failure bool, pairs ...any)
	// End ends the log. With logInFull set the request is logged in full even if it is not one of the sampled requests.
	End(logInFull bool)
}
