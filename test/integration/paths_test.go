package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// Guards against refusing callers, and against replica groups without evidence that they are whole, at nodes that have lost their
// paths to engines while another node reaches them.
func TestNodesWithoutAPathToEnginesServeThroughOthers(t *testing.T) {
	for name, mode := range map[string]paths.Mode{"refused": paths.Refused, "silent": paths.Silent, "reset": paths.Reset} {
		t.Run(name, func(t *testing.T) {
			f := newUnconfiguredFleet(t)
			p := paths.New()
			t.Cleanup(p.Close)
			var cut []*settings.Settings
			for _, vm := range []string{"entry-4", "entry-5"} {
				n, err := f.StartInProcess(vm, "rvk-1", p)
				f.Assert(err, qt.IsNil)
				t.Cleanup(func() { _ = n.Stop() })
				cut = append(cut, &n.Settings)
			}
			f.apply()
			f.Assert(f.WaitForUsableGroups(4, waitTimeout), qt.IsNil)
			caller := lab.NewCaller("donors-caller-token")
			complete := func(s *settings.Settings) bool {
				r := caller.Complete(s.CallerAddress, lab.Completion{Model: "letters-70b", Prompt: "p", Tokens: 3, DeadlineMS: 3000})
				if r.Err != nil || r.Status != 200 {
					t.Logf("%s: status %d, %v, %s", s.VM, r.Status, r.Err, r.Text)
				}
				return r.Err == nil && r.Status == 200
			}
			for _, s := range cut {
				f.waitUntil("the node serves", func() bool { return complete(s) })
				p.Set(s.VM, mode, nil)
			}
			time.Sleep(3 * time.Second) // the time to find out
			const requests = 20
			for _, s := range cut {
				served := 0
				for range requests {
					if complete(s) {
						served++
					}
				}
				qt.Check(t, 3*served >= 2*requests, qt.IsTrue, qt.Commentf("%s served %d of %d", s.VM, served, requests))
			}
		})
	}
}
