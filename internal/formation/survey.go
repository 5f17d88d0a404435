package formation

import (
	"time"

	"moorrun.dev/moorrun/internal/endpoint"
)

const (
	// surveyFor is how long a new tenure asks for loads that are under way; most answer at once, and no load begins
	// before settle.
	surveyFor = 900 * time.Millisecond
	// surveyAgain is after how long an endpoint that loads an unknown model is asked whether it has ended. An answer is
	// some hundred milliseconds old, and each question is priced.
	surveyAgain = time.Second
)

// survey finds the loads that an earlier leader has begun. It asks the endpoints listed at the beginning of the tenure
// whose hosts lack a model, once; what they do later is this leader's own doing.
func (p *Planner) survey(v *View) {
	if v.Now.Sub(p.started) > surveyFor {
		return
	}
	for _, e := range v.Snapshot.Services[v.Service.Name] {
		c := v.Contacts[e.ID]
		if p.surveyed[e.ID] || e.Draining || keepsAnother(e) || p.loading(e) {
			continue
		}
		if !c.Answered.After(p.started) {
			p.ask(e.ID)
			continue
		}
		p.surveyed[e.ID] = true
		if c.Busy && (e.Membership == nil || e.Membership.State != endpoint.Joining) {
			p.stagings[e.ID] = staging{since: v.Now, until: v.Now.Add(p.longestLoad(v) + stageGrace)}
			p.note("model is being loaded already", "", "endpoint", e.ID)
		}
	}
}

func (p *Planner) longestLoad(v *View) time.Duration {
	longest := time.Duration(0)
	for _, m := range v.Service.Engine.Models {
		longest = max(longest, m.Load)
	}
	return longest
}
