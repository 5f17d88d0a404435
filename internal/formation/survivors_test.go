package formation

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The survivors of a broken group served nothing while requests of the smaller model waited, because of copies of the
// larger model in their domain. They must still be left to the larger model if it can have its group soon.
func TestSurvivorsServeTheSmallerModel(t *testing.T) {
	joins := func(small, survivors int, loadLeft time.Duration) int {
		s := &fleetListing{demand: map[string]int{"big": 50, "small": small}}
		staged := "big" // the copies in group b, or the load, keep the survivors for big
		if loadLeft > 0 {
			staged = ""
		}
		s.group("a", "d2", "big", "", 16)
		s.group("b", "d1", "small", staged, 4)
		s.group("c", "d3", "small", "", 4)
		for range survivors {
			s.add("d1", "big", "small")
		}
		sixteenth := s.add("d1", "", "")
		p, v := s.newSettledPlanner(), s.view()
		v.Service = waveService()
		if loadLeft > 0 {
			p.stagings[sixteenth.ID] = staging{"big", s.now, s.now.Add(loadLeft + stageGrace)}
		}
		sent, _ := p.Step(v)
		count := 0
		for _, model := range modelsByEndpoint(sent, Join) {
			if model == "small" {
				count++
			}
		}
		return count
	}
	soon, late := time.Second, 12*time.Second
	for _, c := range []struct {
		small, survivors int
		loadLeft         time.Duration
		joins            int
	}{
		{85, 15, 0, 4},   // two groups of small have 60 slots, so it needs one more
		{150, 15, 0, 12}, // it needs three more
		{98, 15, late, 8},
		{98, 15, soon, 0}, // the sixteenth has the model before a group of small would have served
		{98, 16, 0, 0},    // big can form its group now
		{59, 15, 0, 0},    // no request of small waits
	} {
		qt.Check(t, joins(c.small, c.survivors, c.loadLeft), qt.Equals, c.joins, qt.Commentf(fmt.Sprintf("%+v", c)))
	}
}
