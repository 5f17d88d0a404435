package route_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/route"
)

func newTable() *route.Table {
	return route.NewTable(4, 2, []*route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Public: true},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, []*route.Service{{Name: "plain"}, {Name: "lm", Engine: &route.Engine{Models: []route.Model{{Name: "m", Size: 4}}}}})
}

func TestMatchReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	table := newTable()
	qt.Check(t, table.Match("a.example", "/x/y/z").Name, qt.Equals, "long")
	qt.Check(t, table.Match("a.example", "/x/z").Name, qt.Equals, "short")
	qt.Check(t, table.Match("b.example", "/x/y/z").Name, qt.Equals, "other")
	qt.Check(t, table.Match("a.example", "/xy"), qt.IsNil)
	qt.Check(t, table.Match("c.example", "/x/"), qt.IsNil)
}

func TestCredentialsBelongToWorkspaces(t *testing.T) {
	table := newTable()
	public, private := table.Match("a.example", "/x/y/"), table.Match("a.example", "/x/")
	qt.Check(t, table.NeedsCredential(private), qt.IsFalse, qt.Commentf("without workspaces no credential is needed"))
	table.AddWorkspace(&route.Workspace{Name: "w"}, []string{"k1", "k2"})
	qt.Check(t, table.NeedsCredential(private), qt.IsTrue)
	qt.Check(t, table.NeedsCredential(public), qt.IsFalse)
	qt.Check(t, table.Workspace("k2").Name, qt.Equals, "w")
	qt.Check(t, table.Workspace(""), qt.IsNil)
}

func TestPickDrawsByWeight(t *testing.T) {
	r := &route.Route{Targets: []route.Target{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}, {Service: "never"}}}
	count := map[string]int{}
	for range 4000 {
		count[r.Pick()]++
	}
	qt.Check(t, count["never"], qt.Equals, 0)
	qt.Check(t, count["a"] > 2*count["b"] && count["b"] > 500, qt.IsTrue, qt.Commentf("%v", count))
	qt.Check(t, (&route.Route{}).Pick(), qt.Equals, "")
}

func TestMayRepeat(t *testing.T) {
	qt.Check(t, (&route.Route{Kind: route.Once}).MayRepeat(), qt.IsFalse)
	qt.Check(t, (&route.Route{Kind: route.Repeatable}).MayRepeat(), qt.IsTrue)
	qt.Check(t, (&route.Route{Kind: route.Streaming}).MayRepeat(), qt.IsFalse)
	qt.Check(t, (&route.Route{Kind: route.Streaming, Resumable: true}).MayRepeat(), qt.IsTrue)
}

func TestEnginesAreTheServicesWithModels(t *testing.T) {
	engines := newTable().Engines()
	qt.Assert(t, engines, qt.HasLen, 1)
	m, ok := engines[0].Engine.Model("m")
	qt.Check(t, ok && m.Size == 4, qt.IsTrue)
	_, ok = engines[0].Engine.Model("none")
	qt.Check(t, ok, qt.IsFalse)
}
