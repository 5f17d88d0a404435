package burnplot_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/burn"
	"moorrun.dev/moorrun/internal/burn/burnplot"
)

func TestPlotNamesServicesAndWindows(t *testing.T) {
	s := burn.ServiceReport{Workspace: "w", Service: "m"}
	for i, w := range burn.Windows {
		s.Burn = append(s.Burn, burn.WindowBurn{Window: w.Name, Rate: float64(i)})
	}
	file := filepath.Join(t.TempDir(), "burn.svg")
	qt.Assert(t, burnplot.Plot(burn.Report{Services: []burn.ServiceReport{s}}, file), qt.IsNil)
	content, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	for _, text := range []string{"w/m", "5m", "3d"} {
		qt.Check(t, strings.Contains(string(content), text), qt.IsTrue, qt.Commentf(text))
	}
	qt.Assert(t, burnplot.Plot(burn.Report{}, filepath.Join(t.TempDir(), "empty.svg")), qt.IsNil)
}
