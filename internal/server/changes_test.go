package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/route"
)

// Whether an endpoint serves alone follows from its service, not from what it says of itself.
func TestNodesThatOnlyRouteAreGivenPlainEndpointsWhateverTheySay(t *testing.T) {
	n := &Server{}
	engine := &endpoint.Endpoint{Service: "engines", Domain: "d"}
	qt.Check(t, n.routable(engine), qt.IsTrue, qt.Commentf("no configuration tells yet what it is"))
	n.table.Store(route.NewTable(1, 1, nil, []*route.Service{{Name: "engines", Engine: &route.Engine{}}, {Name: "plain"}}))
	qt.Check(t, n.routable(engine), qt.IsFalse)
	qt.Check(t, n.routable(&endpoint.Endpoint{Service: "plain", Domain: "d"}), qt.IsTrue)
	engine.Membership = &endpoint.Membership{Group: "g", Rank: 0, State: endpoint.Open}
	qt.Check(t, n.routable(engine), qt.IsTrue)
}
