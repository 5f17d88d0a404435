package endpoint

import (
	"net"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about entries that describe no endpoint.
var Error = errs.Class("endpoint")

const (
	// maxNameBytes is the size of the longest name in an entry; longer ones would fill logs and messages between nodes.
	maxNameBytes = 1 << 10
	maxSlots     = 1 << 20
	maxColdLeft  = 24 * time.Hour
)

// Check returns an error if e cannot describe an endpoint. It does not quote what may be of any length.
func (e *Endpoint) Check() error {
	for _, name := range []string{e.Service, e.Address, e.DataCentre, e.Domain, e.Membership.GroupName()} {
		if len(name) > maxNameBytes {
			return Error.New("a name of %d bytes is longer than %d", len(name), maxNameBytes)
		}
	}
	switch {
	case e.Service == "":
		return Error.New("the entry has no service")
	case !isAddress(e.Address):
		return Error.New("address %q is not of the form HOST:PORT with a port from 1 to 65535", e.Address)
	case e.Slots < 0 || e.Slots > maxSlots:
		return Error.New("slots %d are not between 0 and %d", e.Slots, maxSlots)
	case e.ColdLeft < 0 || e.ColdLeft > maxColdLeft:
		return Error.New("remaining cold time %v is not between 0 and %v", e.ColdLeft, maxColdLeft)
	}
	return e.Membership.check()
}

// check returns an error if m, which may be nil, cannot be a membership.
func (m *Membership) check() error {
	switch {
	case m == nil:
		return nil
	case !m.State.IsKnown():
		return Error.New("unknown group state %.40q", m.State)
	case m.Epoch < 0 || m.Rank < 0:
		return Error.New("epoch %d or rank %d of the group is negative", m.Epoch, m.Rank)
	}
	return nil
}

// isAddress reports whether the address is of the form HOST:PORT with a port by number.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
