package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Whether an endpoint serves alone is determined by its service, not by its own entry.
func TestServiceDeterminesWhetherAnEndpointIsNeededForRouting(t *testing.T) {
	n := &Server{}
	engine := &endpoint.Endpoint{Service: "engines", Domain: "d"}
	qt.Check(t, n.neededForRouting(engine), qt.IsTrue, qt.Commentf("without a configuration the service may have no engines"))
	n.table.Store(route.NewTable(1, 1, nil, []*route.Service{{Name: "engines", Engine: &route.Engine{}}, {Name: "plain"}}))
	qt.Check(t, n.neededForRouting(engine), qt.IsFalse)
	qt.Check(t, n.neededForRouting(&endpoint.Endpoint{Service: "plain", Domain: "d"}), qt.IsTrue)
	engine.Membership = &endpoint.Membership{Group: "g", Rank: 0, State: endpoint.Open}
	qt.Check(t, n.neededForRouting(engine), qt.IsTrue)
}
