package server

import (
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/formation"
)

// newPlanFailureCounter returns a function that counts the plans given up, and the endpoint-seconds that they held, by reason.
func newPlanFailureCounter(scope tally.Scope) func(reason formation.PlanFailure, endpoints int, held time.Duration) {
	return func(reason formation.PlanFailure, endpoints int, held time.Duration) {
		s := scope.Tagged(map[string]string{"reason": string(reason)})
		s.Counter("plans_given_up").Inc(1)
		s.Counter("plans_given_up_endpoint_milliseconds").Inc(int64(endpoints) * held.Milliseconds())
	}
}

// newJoinCounter returns a function that counts the orders to join by the proof on which they rested and their outcome. The endpoint has
// refused a join that rested on a false belief.
func newJoinCounter(scope tally.Scope) func(kind formation.ProofKind, outcome formation.Outcome) {
	return func(kind formation.ProofKind, outcome formation.Outcome) {
		scope.Tagged(map[string]string{"proof": string(kind), "outcome": outcome.String()}).Counter("joins").Inc(1)
	}
}

// updateFormationGauges updates the gauges of the leader's work, which are zero at all other nodes.
func (n *Server) updateFormationGauges(now time.Time) {
	s := n.scope
	free := n.controller.FreeEndpoints(now)
	for _, r := range formation.FreeReasons {
		s.Tagged(map[string]string{"reason": string(r)}).Gauge("endpoints_free").Update(float64(free[r]))
	}
	loads := n.controller.LoadsInProgress(now)
	for _, purpose := range formation.LoadPurposes {
		s.Tagged(map[string]string{"purpose": string(purpose)}).Gauge("loads_in_progress").Update(float64(loads[purpose]))
	}
	work := n.controller.LastWork(now)
	s.Gauge("leader_steps").Update(float64(work.Steps))
	s.Gauge("leader_step_seconds").Update(work.StepTime.Seconds())
	s.Gauge("leader_orders").Update(float64(work.Orders))
	s.Gauge("leader_order_seconds").Update(work.OrderTime.Seconds())
	s.Gauge("leader_unanswered").Update(float64(work.Unanswered))
	shortages := n.controller.Shortages(now)
	for _, needed := range n.controller.GroupsNeeded(now) {
		tagged := s.Tagged(map[string]string{"service": needed.Service, "model": needed.Model})
		tagged.Gauge("groups_needed").Update(needed.Present)
		tagged.Gauge("groups_needed_peak").Update(needed.Peak)
		shortage := findShortage(shortages, needed.Service, needed.Model)
		tagged.Gauge("groups_possible").Update(float64(shortage.Possible))
		for _, cause := range formation.Causes {
			tagged.Tagged(map[string]string{"cause": string(cause)}).Gauge("endpoints_not_serving").Update(float64(shortage.Endpoints[cause]))
		}
	}
}

// findShortage returns the shortage of a model, or the zero value if there is none.
func findShortage(list []formation.Shortage, service, model string) formation.Shortage {
	for _, s := range list {
		if s.Service == service && s.Model == model {
			return s
		}
	}
	return formation.Shortage{}
}
