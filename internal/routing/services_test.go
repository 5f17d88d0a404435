package routing_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/allocator"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/drains"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
	"moorrun.dev/moorrun/internal/routing"
)

const pool = "service/gifts/receipts"

// newServices returns Services for one service with the endpoints a, b and c, and the mirror that its drains are
// read from.
func newServices() (*routing.Services, *mirror.Mirror) {
	workspace := &config.Workspace{Name: "gifts", Services: []config.Service{{Name: "receipts", Endpoints: []config.Endpoint{{Name: "a"}, {Name: "b", Places: 16}, {Name: "c"}}}}}
	c := config.New(1, config.Set{config.WorkspacePart("gifts"): {Workspace: workspace}})
	m := mirror.New()
	return routing.NewServices(drains.NewReader(m), func() *config.Config { return c }), m
}

func names(refs []allocator.Ref) []string {
	out := []string{}
	for _, r := range refs {
		out = append(out, r.Group)
	}
	return out
}

func TestDrainedEndpointsAreNotUsable(t *testing.T) {
	s, m := newServices()
	qt.Check(t, routing.ServicePool("gifts", "receipts"), qt.Equals, pool)
	qt.Check(t, s.Endpoints(pool), qt.HasLen, 3)
	qt.Check(t, s.Endpoints("service/gifts/other"), qt.HasLen, 0)
	m.Put(infra.Object{Key: keys.Drains, Version: 1, Value: []byte(`{"names":{"b":{"by":"an operator"}}}`)})
	qt.Check(t, s.Endpoints(pool), qt.HasLen, 2)
	qt.Check(t, s.Usable("b", 0, time.Now()), qt.IsFalse)
	qt.Check(t, s.Usable("a", 0, time.Now()), qt.IsTrue)
	qt.Check(t, s.Usable("d", 0, time.Now()), qt.IsFalse)
}

func TestEndpointsThatRequestedAPauseAreEjected(t *testing.T) {
	s, _ := newServices()
	now := time.Unix(1000, 0)
	s.RecordPause("a", now.Add(time.Minute))
	s.RecordPause("a", now.Add(time.Second)) // the pause that ends later stays in force
	qt.Check(t, names(s.Ejected(pool, now.Add(30*time.Second))), qt.DeepEquals, []string{"a"})
	qt.Check(t, s.RemainingPause(pool, now), qt.Equals, time.Duration(0))
	s.RecordPause("b", now.Add(30*time.Second))
	s.RecordPause("c", now.Add(40*time.Second))
	qt.Check(t, s.RemainingPause(pool, now), qt.Equals, 30*time.Second)
	qt.Check(t, names(s.Ejected(pool, now)), qt.DeepEquals, []string{"a", "b", "c"})
	qt.Check(t, names(s.Ejected(pool, now.Add(time.Minute))), qt.HasLen, 0)
	qt.Check(t, s.RemainingPause("service/gifts/other", now), qt.Equals, time.Duration(0))
}

func TestFailingEndpointsAreEjectedUnlessMostFail(t *testing.T) {
	s, _ := newServices()
	now := time.Unix(1000, 0)
	fail := func(name string) {
		for range 3 {
			s.RecordFailure(name, now)
		}
	}
	fail("a")
	qt.Check(t, names(s.Ejected(pool, now)), qt.DeepEquals, []string{"a"})
	fail("b")
	qt.Check(t, names(s.Ejected(pool, now)), qt.HasLen, 0, qt.Commentf("none is ejected while most of them fail, as some endpoint must serve the requests"))
	s.RecordSuccess("b")
	qt.Check(t, names(s.Ejected(pool, now)), qt.DeepEquals, []string{"a"})
}
