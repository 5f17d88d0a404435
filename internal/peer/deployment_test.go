package peer

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/quarantine"
)

// newTestFleet returns the state of the node entry-1 of a deployment, which knows the node entry-2.
func newTestFleet(deployment string) *Fleet {
	now := time.Now()
	f := &Fleet{
		Deployment: deployment, Mirror: mirror.New(), Observations: evidence.NewTable(), Reports: evidence.NewReports(), Contact: &Contact{}, Outgoing: NewOutbox(),
		Quarantine: quarantine.NewTable(), Heartbeat: 20 * time.Millisecond,
		Members: membership.NewTable(membership.Member{VM: "entry-1", DataCentre: "dc", Incarnation: deployment + "-1", PeerAddress: "one of " + deployment}),
	}
	f.Members.Put(membership.Member{VM: "entry-2", DataCentre: "dc", Incarnation: deployment + "-2", PeerAddress: "two of " + deployment, Heard: now})
	f.Mirror.Put(infra.Object{Key: "configuration of " + deployment, Version: 1})
	return f
}

// linkFor runs a link from a node to a server for some heartbeats and reports whether the relay was alive.
func linkFor(t *testing.T, from, to *Fleet) bool {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*from.Heartbeat)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); _ = NewServer(to, nil, nil).Serve(ctx, lis) }()
	alive := false
	_ = RunLink(ctx, from, lis.Addr().String(), true, func(time.Time) { alive = true })
	cancel()
	<-done
	return alive
}

// Guards against a node that links to an address which a node of another deployment has now. Each took the members and the
// configuration of the other for its own.
func TestNodesOfAnotherDeploymentAreNotLinked(t *testing.T) {
	a, b := newTestFleet("a"), newTestFleet("b")
	from := newTestFleet("a")
	from.Members = membership.NewTable(membership.Member{VM: "entry-2", DataCentre: "dc", Incarnation: "a-2", PeerAddress: "two of a"})
	qt.Check(t, linkFor(t, from, b), qt.IsFalse)
	m, _ := b.Members.Get("entry-2")
	qt.Check(t, m.PeerAddress, qt.Equals, "two of b")
	_, ok := from.Mirror.Get("configuration of b")
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, linkFor(t, from, a), qt.IsTrue, qt.Commentf("a node of its own deployment"))
	b.Deployment = ""
	qt.Check(t, linkFor(t, from, b), qt.IsTrue, qt.Commentf("a node that names no deployment, as before an upgrade"))
}
