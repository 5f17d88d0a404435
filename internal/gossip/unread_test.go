package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnknownUnreadTokensAreNotZero guards against a node that does not report its unread tokens being counted as one that has none.
func TestUnknownUnreadTokensAreNotZero(t *testing.T) {
	total := NewTotals()
	total.Add(&Status{Loads: Loads{KeyOf("a"): 2}})
	qt.Check(t, total.Unread, qt.IsNil)
	total.Add(&Status{Unread: Unread{}})
	qt.Check(t, total.Unread, qt.IsNotNil, qt.Commentf("a node reports that it has none"))
}

func TestUnreadTokensAddUp(t *testing.T) {
	one, two := Status{Unread: Unread{KeyOf("a"): 640}}, Status{Unread: Unread{KeyOf("a"): 64, KeyOf("b"): 128}}
	total := NewTotals()
	total.Add(&one)
	total.Add(&two)
	relayed := NewTotals()
	relayed.AddTotals(total)
	qt.Check(t, relayed.Unread.At("a"), qt.Equals, 704)
	qt.Check(t, relayed.without(&two).Unread, qt.DeepEquals, one.Unread)
	qt.Check(t, relayed.Unread.At("b"), qt.Equals, 128, qt.Commentf("the totals themselves are unchanged"))
	qt.Check(t, one.Unread, qt.DeepEquals, Unread{KeyOf("a"): 640}, qt.Commentf("a status is not changed by adding it"))
}
