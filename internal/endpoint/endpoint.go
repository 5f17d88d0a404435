// Package endpoint knows the endpoints that the platform lists, and the replica groups they say they are in.
package endpoint

import (
	"strconv"
	"strings"
	"time"
)

// State is what an endpoint says of its part in a replica group.
type State string

const (
	// Joining is a member that prepares itself.
	Joining State = "joining"
	// Ready is a member that may serve once its group opens.
	Ready State = "ready"
	// Open is a head that takes requests.
	Open State = "open"
	// Closing is a head that finishes its requests.
	Closing State = "closing"
	// Broken is a head that has lost a member.
	Broken State = "broken"
)

// Membership is an endpoint's place in a replica group.
type Membership struct {
	Group string
	Epoch int64
	Rank  int // 0 is the head
	State State
}

// Endpoint is one life of one endpoint as it was last listed.
type Endpoint struct {
	ID       string // of this life, see Life
	Service  string
	Address  string
	Zone     string
	Domain   string // of the fabric
	Slots    int
	Draining bool
	ColdLeft time.Duration // for how much longer it is cold, as it was listed
	Cold     time.Time     // until then it is, as far as that tells; zero if it is not
	// Models it holds ready. An endpoint that has left its group lists none, but is ready for the model of that group
	// again without a load, so that model stays here.
	Models     []string
	Staged     []string // on its host
	Membership *Membership
	Revision   int64 // of the platform's entry
}

// lifeMark stands between the id under which an endpoint is listed and its start in the id of one of its lives.
const lifeMark = "@"

// Life returns the id of one life of an endpoint, which may start again under the id that it is listed by and then knows
// nothing of before. born tells the start, in Unix milliseconds by the endpoint's own clock; if it is zero, the endpoint
// does not say, and the listed id stands for its only life.
func Life(listed string, born int64) string {
	if born == 0 {
		return listed
	}
	return listed + lifeMark + strconv.FormatInt(born, 10)
}

// Listed returns the id by which the endpoint of that life is listed and asked for.
func Listed(life string) string {
	listed, _, _ := strings.Cut(life, lifeMark)
	return listed
}

// Holds reports whether the endpoint runs that model.
func (e *Endpoint) Holds(model string) bool { return contains(e.Models, model) }

// Heads reports whether the endpoint says that it heads an open replica group.
func (e *Endpoint) Heads() bool {
	m := e.Membership
	return m != nil && m.Rank == 0 && m.State == Open
}

// HasStaged reports whether the endpoint's host holds that model.
func (e *Endpoint) HasStaged(model string) bool { return contains(e.Staged, model) }

func contains(list []string, wanted string) bool {
	for _, s := range list {
		if s == wanted {
			return true
		}
	}
	return false
}

// recall takes over the model of the last group from what was known of an endpoint that has left it.
func (e *Endpoint) recall(known *Snapshot) {
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
