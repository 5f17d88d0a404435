package formation

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a loss that saturates above a pressure of 1: a model far below its need would then gain nothing from another
// group, and never get one.
func TestServiceLossGrowsWithThePressure(t *testing.T) {
	last := -1.0
	for pressure := 0.0; pressure < 8; pressure += 0.25 {
		loss := serviceLoss(pressure)
		qt.Check(t, loss > last && loss < 1, qt.IsTrue, qt.Commentf("pressure %v: %v", pressure, loss))
		last = loss
	}
	qt.Check(t, math.Abs(serviceLoss(4)-0.75) < 0.01, qt.IsTrue, qt.Commentf("a quarter of the need is met"))
	qt.Check(t, serviceLoss(math.Inf(1)), qt.Equals, 1.0)
}
