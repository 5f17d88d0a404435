package mirror

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/infra"
)

func TestPagesCoverEverythingOnce(t *testing.T) {
	m := New()
	const objects, size = 10, 100
	for i := range objects {
		m.Put(infra.Object{Key: fmt.Sprint("k", i), Version: 1, Value: make([]byte, size)})
	}
	m.Put(infra.Object{Key: "k0", Version: 2, Value: make([]byte, size)}) // now the newest
	seen := make(map[string]int)
	pages := 0
	for reached := uint64(0); reached < m.Sequence(); pages++ {
		page, next := m.Page(reached, 3*size)
		qt.Assert(t, next > reached, qt.IsTrue)
		qt.Check(t, len(page) <= 3, qt.IsTrue)
		for _, o := range page {
			seen[o.Key]++
		}
		reached = next
	}
	qt.Check(t, pages, qt.Equals, 4)
	qt.Check(t, seen, qt.HasLen, objects)
	for key, n := range seen {
		qt.Check(t, n, qt.Equals, 1, qt.Commentf(key))
	}
}

func TestObjectLargerThanAPageIsReturnedAlone(t *testing.T) {
	m := New()
	m.Put(infra.Object{Key: "large", Version: 1, Value: make([]byte, 100)})
	m.Put(infra.Object{Key: "next", Version: 1, Value: make([]byte, 1)})
	page, reached := m.Page(0, 10)
	qt.Assert(t, page, qt.HasLen, 1)
	qt.Check(t, page[0].Key, qt.Equals, "large")
	page, reached = m.Page(reached, 10)
	qt.Assert(t, page, qt.HasLen, 1)
	qt.Check(t, page[0].Key, qt.Equals, "next")
	qt.Check(t, reached, qt.Equals, m.Sequence())
}
