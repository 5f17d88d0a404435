package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/gossip"
)

func TestOverviewNamesWhoLeadsAndHowOldCopiesAre(t *testing.T) {
	now := time.Unix(1000, 0)
	self := gossip.Peer{Identity: gossip.Identity{VM: "a"}, Status: gossip.Status{Relay: true, ProofAt: now.Add(-700 * time.Millisecond)}}
	leader := servingNode("z1", 1, 800)
	leader.LeaderEpoch, leader.Watching, leader.ProofAt = 7, true, now.Add(-300*time.Millisecond)
	indirect := servingNode("z2", 2, 192)
	got := newOverview(self, []*gossip.Peer{leader, indirect}, 986, now)
	qt.Check(t, got.Leader, qt.Equals, leader.VM)
	qt.Check(t, got.Nodes, qt.Equals, 986)
	qt.Assert(t, got.Members, qt.HasLen, 3)
	qt.Check(t, got.Members[0].Relays, qt.IsTrue)
	qt.Check(t, *got.Members[0].CopyAgeMS, qt.Equals, int64(700))
	qt.Check(t, got.Members[1].Watches && got.Members[1].Leads, qt.IsTrue)
	qt.Check(t, got.Members[2].CopyAgeMS, qt.IsNil, qt.Commentf("only the node's relay receives the age of its copy"))
}
