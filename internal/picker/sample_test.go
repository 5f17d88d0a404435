package picker

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
)

// openGroups returns a directory of n open groups of one endpoint each, named by number and spread over the data centres round-robin.
func openGroups(n int, dataCentres ...string) *endpoint.Directory {
	var list []*endpoint.Endpoint
	for i := range n {
		id := fmt.Sprint(i)
		list = append(list, &endpoint.Endpoint{
			ID: id, Service: "lm", DataCentre: dataCentres[i%len(dataCentres)], Models: []string{"m"}, Membership: &endpoint.Membership{Group: id, Epoch: 1, State: endpoint.Open},
		})
	}
	d := endpoint.NewDirectory(time.Second)
	d.Apply(list, nil, time.Now())
	return d
}

// choices lets each of the nodes in data centre "a" choose once with the same reported loads, and counts the choices by group.
func choices(t *testing.T, nodes int, d *endpoint.Directory, others *gossip.Totals) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for node := range nodes {
		p := New(Options{
			DataCentre: "a", Directory: d, Others: func(time.Time) *gossip.Totals { return others },
			Retiring: func(time.Time) map[string]bool { return nil },
		})
		p.randomState = uint64(node) * 0x9e3779b97f4a7c15
		place, err := p.Acquire(context.Background(), &Requirements{Service: "lm", Model: "m", Slots: 20, Size: 1})
		qt.Assert(t, err, qt.IsNil)
		out[place.Group]++
	}
	return out
}

// loadedExceptFirst returns totals in which every group but the first has the given number of requests.
func loadedExceptFirst(groups, requests int) *gossip.Totals {
	others := gossip.NewTotals()
	for i := 1; i < groups; i++ {
		others.Loads[gossip.KeyOf(fmt.Sprint(i))] = requests
	}
	return others
}

func TestGroupThatHasJustOpenedIsNotOverrun(t *testing.T) {
	const groups, nodes = 20, 1000
	got := choices(t, nodes, openGroups(groups, "a"), loadedExceptFirst(groups, 14))["0"]
	qt.Check(t, got > nodes/groups && got < 3*nodes/groups, qt.IsTrue, qt.Commentf("the new group got %d of %d choices", got, nodes))
}

func TestLessLoadedOfTheSampledGroupsIsChosen(t *testing.T) {
	others := gossip.NewTotals()
	others.Loads = gossip.Loads{gossip.KeyOf("0"): 3, gossip.KeyOf("1"): 9}
	qt.Check(t, choices(t, 50, openGroups(2, "a"), others), qt.DeepEquals, map[string]int{"0": 50})
}

func TestOtherDataCentresAreChosenWhereTheyAreFarLessLoaded(t *testing.T) {
	const groups = 12
	d := openGroups(groups, "a", "b")
	for group := range choices(t, 200, d, gossip.NewTotals()) {
		qt.Check(t, d.Read().Groups[group].Head.DataCentre, qt.Equals, "a")
	}
	others := gossip.NewTotals()
	for i := 0; i < groups; i += 2 {
		others.Loads[gossip.KeyOf(fmt.Sprint(i))] = 10
	}
	for group := range choices(t, 200, d, others) {
		qt.Check(t, d.Read().Groups[group].Head.DataCentre, qt.Equals, "b")
	}
}

func TestStalledGroupsAreExcludedFromSampling(t *testing.T) {
	const groups = 10
	others := gossip.NewTotals()
	others.Suspects = make(map[string]time.Time)
	for i := 1; i < groups; i++ {
		others.Suspects[fmt.Sprint(i)] = time.Now()
	}
	qt.Check(t, choices(t, 50, openGroups(groups, "a"), others), qt.DeepEquals, map[string]int{"0": 50})
}
