// Package peer carries what moorrund processes tell each other: state objects, evidence, members
// and demand, over one long stream a pair and pooled calls.
package peer

import (
	"time"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
)

// Fleet is what a node knows and shares over its links.
type Fleet struct {
	Mirror  *mirror.Mirror
	Looks   *evidence.Table
	Reports *evidence.Reports
	Members *membership.Table
	Contact *Contact
	// Outgoing returns this node's own looks since a sequence, with the reports of the VMs looked at.
	Outgoing *Outbox
	// Heartbeat is the longest silence of a link's either side.
	Heartbeat time.Duration
}
