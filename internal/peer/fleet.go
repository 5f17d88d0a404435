// Package peer implements the protocol between moorrund processes. State objects, liveness evidence and
// membership travel over one long-lived stream for each pair of nodes; configuration parts and demand use
// single calls over pooled connections.
package peer

import (
	"time"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/quarantine"
)

// Fleet is the state that a node holds of the deployment and exchanges with its peers over its links.
type Fleet struct {
	// Deployment names the deployment that the node belongs to; empty if the settings do not.
	Deployment   string
	Mirror       *mirror.Mirror
	Observations *evidence.Table
	Reports      *evidence.Reports
	Members      *membership.Table
	Contact      *Contact
	// Outgoing holds this node's own observations, with the reports of the observed VMs, for sending to relays.
	Outgoing *Outbox
	// Quarantine holds the requests under which engines have ended.
	Quarantine *quarantine.Table
	// Heartbeat is the longest time that either side of a link goes without sending a message.
	Heartbeat time.Duration
}
