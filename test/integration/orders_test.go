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

// TestLateOrderOfAnEarlierHolder sends orders as a holder of long ago would: an engine that checks refuses it; one
// that does not obeys, its group goes out of use, and the present holder brings it back.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	f := newFleet(t)
	engines := rest.NewEngine(httpcall.NewClient(), time.Second)
	late := func(vm string) error {
		return engines.Order(context.Background(), f.Engines[vm].Address, infra.Order{VM: vm, Generation: 1})
	}
	f.Check(errors.Is(late("rvk-1-a-2"), infra.ErrFenced), qt.IsTrue)

	vm := "rvk-2-a-2"
	id, usable, _ := f.groupOf(vm)
	f.Assert(usable, qt.IsTrue)
	birth := f.Engines[vm].State().GroupBirth
	f.Assert(late(vm), qt.IsNil)
	f.Check(f.Engines[vm].State().Group, qt.Equals, "", qt.Commentf("it does not check"))
	f.until("the engine back in its group", func() bool {
		s := f.Engines[vm].State()
		return s.Group == id && s.GroupBirth == birth && s.Ready
	})
	f.until("the group in use", func() bool { _, usable, _ := f.groupOf(vm); return usable })
}
