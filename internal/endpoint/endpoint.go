// Package endpoint holds a node's copy of the platform's list of endpoints and the replica groups that they report to be in.
package endpoint

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// State is the state in a replica group that an endpoint reports.
type State string

const (
	// Joining is the state of a member that is still preparing to serve.
	Joining State = "joining"
	// Ready is the state of a member that may serve once its group opens.
	Ready State = "ready"
	// Open is the state of a head that takes requests.
	Open State = "open"
	// Closing is the state of a head that takes no new requests and finishes the running ones.
	Closing State = "closing"
	// Broken is the state of a head that has lost a member.
	Broken State = "broken"
)

// IsKnown reports whether the state is one of those above.
func (s State) IsKnown() bool {
	return slices.Contains([]State{Joining, Ready, Open, Closing, Broken}, s)
}

// Membership is an endpoint's membership of a replica group, as the endpoint reports it.
type Membership struct {
	Group string
	Epoch int64
	Rank  int // 0 is the head
	State State
}

// GroupName returns the name of the group, or "" if m is nil.
func (m *Membership) GroupName() string {
	if m == nil {
		return ""
	}
	return m.Group
}

// Endpoint is one instance of an endpoint as it was last listed.
type Endpoint struct {
	ID         string // instance ID, see InstanceID
	Service    string
	Address    string
	DataCentre string
	Domain     string // fabric domain
	Slots      int    // requests that it runs at once; zero if unknown
	Draining   bool
	ColdLeft   time.Duration // remaining cold time when it was listed
	ColdUntil  time.Time     // end of the cold time; zero if it is not cold
	// Models are the models that it is ready to run. An endpoint that has left its group lists none but can run the group's
	// model again without loading it, so that model is kept here.
	Models     []string
	Staged     []string    // models staged on its host
	Membership *Membership // nil if it is in no group
	Revision   int64       // version of the platform's entry, which increases with every write
}

// instanceSeparator separates the listed ID of an endpoint from the start time in an instance ID.
const instanceSeparator = "@"

// InstanceID returns the ID of one instance of an endpoint. An endpoint may restart under the same listed ID, and then has no
// state of its earlier instance. started is the start of the instance in Unix milliseconds by the endpoint's own clock; if it is
// zero, the endpoint does not report its start and the listed ID is the instance ID.
func InstanceID(listed string, started int64) string {
	if started == 0 {
		return listed
	}
	return listed + instanceSeparator + strconv.FormatInt(started, 10)
}

// ListedID returns the ID under which the platform lists the endpoint with the given instance ID.
func ListedID(instance string) string {
	listed, _, _ := strings.Cut(instance, instanceSeparator)
	return listed
}

// IsOtherInstance reports whether started, in Unix milliseconds, is the start of another instance of the endpoint than the one with
// the given instance ID. It returns false if the start of either is unknown, which for started is 0.
func IsOtherInstance(instance string, started int64) bool {
	listed := ListedID(instance)
	return started != 0 && listed != instance && InstanceID(listed, started) != instance
}

// HasLoaded reports whether the endpoint is ready to run the model.
func (e *Endpoint) HasLoaded(model string) bool { return contains(e.Models, model) }

// IsOpenHead reports whether the endpoint reports to be the head of an open replica group.
func (e *Endpoint) IsOpenHead() bool {
	m := e.Membership
	return m != nil && m.Rank == 0 && m.State == Open
}

// HasStaged reports whether the model is staged on the endpoint's host.
func (e *Endpoint) HasStaged(model string) bool { return contains(e.Staged, model) }

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}

// keepModels copies the models last reported by an endpoint that has left its group and therefore lists none.
func (e *Endpoint) keepModels(known *Snapshot) {
	if e.Membership != nil || len(e.Models) > 0 {
		return
	}
	if before, listed := known.Endpoints[e.ID]; listed {
		e.Models = before.Models
		return
	}
	if gone, ok := known.Gone[e.ID]; ok {
		e.Models = gone.Endpoint.Models
	}
}
