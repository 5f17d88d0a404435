package peer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/evidence"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/peer/peerpb"
)

func newTestLink() *LinkClient {
	return &LinkClient{sameDataCentre: true, fleet: &Fleet{
		Mirror: mirror.New(), Observations: evidence.NewTable(), Reports: evidence.NewReports(), Contact: &Contact{},
		Members: membership.NewTable(membership.Member{VM: "self", DataCentre: "dc"}),
	}}
}

func TestEvidenceExpiryCountsFromEchoedTick(t *testing.T) {
	l := newTestLink()
	sent := time.Now().Add(-time.Second) // the tick was sent a second ago; the message that echoes it was buffered
	tick := l.clock.Next(sent)
	l.receive(&peerpb.Down{Tick: 1, Echo: tick, Evidence: []*peerpb.DomainEvidence{{
		Domain: "d", Observer: "o/1", Sequence: 1, Groups: []*peerpb.GroupEvidence{{Id: "g", Birth: 1, RemainingMs: 900}},
	}}})
	g, ok := l.fleet.Observations.Group("d", "g", 1)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, g.Expires, qt.Equals, sent.Add(900*time.Millisecond))
	qt.Assert(t, time.Now().Before(g.Expires), qt.IsFalse, qt.Commentf("evidence older than its lifetime is already expired"))
}

func TestEvidenceWithoutEchoIsIgnored(t *testing.T) {
	l := newTestLink()
	l.receive(&peerpb.Down{Tick: 1, Evidence: []*peerpb.DomainEvidence{{
		Domain: "d", Observer: "o/1", Sequence: 1, Groups: []*peerpb.GroupEvidence{{Id: "g", Birth: 1, RemainingMs: 900}},
	}}})
	_, ok := l.fleet.Observations.Group("d", "g", 1)
	qt.Assert(t, ok, qt.IsFalse)
}

// FuzzReceiveDown checks that no message from a relay replaces an object by an older version or causes a panic.
func FuzzReceiveDown(f *testing.F) {
	seed, _ := proto.Marshal(&peerpb.Down{Tick: 3, Echo: 1, Objects: []*peerpb.StateObject{{Key: "k", Version: 9}}, Alive: []*peerpb.Alive{{Vm: "x", AgeMs: 7}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var down peerpb.Down
		if proto.Unmarshal(raw, &down) != nil {
			return
		}
		l := newTestLink()
		l.clock.Next(time.Now())
		l.fleet.Mirror.Put(infra.Object{Key: "k", Version: 5})
		l.receive(&down)
		if o, ok := l.fleet.Mirror.Get("k"); ok && o.Version < 5 {
			t.Fatalf("object version went back from 5 to %d", o.Version)
		}
		l.fleet.Members.Live(time.Now())
		l.fleet.Observations.Since(0)
	})
}
