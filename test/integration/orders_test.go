package integration

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/infra/rest"
)

// Guards against a group staying out of use after a late order of an earlier lease holder. An engine that checks
// generations refuses the order. One that does not check them executes it, which takes its group out of use until
// the current holder corrects the engine.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	f := newFleet(t)
	engines := rest.NewEngine(httpcall.NewClient(), time.Second)
	sendOutdated := func(vm string) error {
		return engines.Order(context.Background(), f.Engines[vm].Address, infra.Order{VM: vm, Generation: 1})
	}
	f.Check(errors.Is(sendOutdated("rvk-1-a-2"), infra.ErrFenced), qt.IsTrue)

	vm := "rvk-2-a-2"
	id, usable, _ := f.groupOf(vm)
	f.Assert(usable, qt.IsTrue)
	birth := f.Engines[vm].State().GroupBirth
	f.Assert(sendOutdated(vm), qt.IsNil)
	f.Check(f.Engines[vm].State().Group, qt.Equals, "", qt.Commentf("an engine that checks no generations must execute the order"))
	f.waitUntil("the engine is ready in its group again", func() bool {
		s := f.Engines[vm].State()
		return s.Group == id && s.GroupBirth == birth && s.Ready
	})
	f.waitUntil("the group is usable", func() bool { _, usable, _ := f.groupOf(vm); return usable })
}
