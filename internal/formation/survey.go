package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// surveyWindow is how long a new tenure probes endpoints for loads in progress. Most answer at once, and no load
	// starts before firstLoadDelay.
	surveyWindow = 900 * time.Millisecond
	// surveyRetryInterval is the interval at which an endpoint that loads an unknown model is probed for the end of the
	// load. An answer is some hundred milliseconds old, and each probe has a cost.
	surveyRetryInterval = time.Second
)

// survey finds the loads that an earlier leader has started. It probes each endpoint whose host lacks a model until it
// answers once, and only at the beginning of the tenure; later loads are ordered by this leader.
func (p *Planner) survey(v *View) {
	if v.Now.Sub(p.started) > surveyWindow {
		return
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		c := v.Contacts[e.ID]
		if p.surveyed[e.ID] || e.Draining || hasOtherModelStaged(e) || p.isLoading(e) {
			continue
		}
		if !c.LastAnswer.After(p.started) {
			p.requestProbe(e.ID)
			continue
		}
		p.surveyed[e.ID] = true
		if c.Busy && (e.Membership == nil || e.Membership.State != endpoint.Joining) {
			p.stagings[e.ID] = staging{since: v.Now, until: v.Now.Add(longestLoad(v.Service.Engine) + stageGrace), purpose: LoadFound}
			p.note("found a model load started by an earlier leader", "", "endpoint", e.ID)
		}
	}
}
