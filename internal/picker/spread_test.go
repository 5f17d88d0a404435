package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/gossip"
)

const (
	spreadSlots     = 30
	spreadEvents    = 31
	spreadObjective = 200 * time.Millisecond
	spreadTick      = time.Millisecond
	reportInterval  = 100 * time.Millisecond
	reportDelay     = 100 * time.Millisecond
	retryAttempts   = 2
	spreadSettle    = 2 * spreadObjective // after which every request that is in time has had its first event
)

// spreadModel predicts the groups of spreadFleet that are not slowed. At 400 requests of 674 tokens per second 26 groups run 22
// requests each.
var spreadModel = engine.Model{
	Figures: engine.Figures{Step: 6 * time.Millisecond, PerWriter: 150 * time.Microsecond, ReadPerSecond: 50_000, Stride: 7},
	Pace:    0.6,
}

// spreadRequest is a request of spreadFleet.
type spreadRequest struct {
	node     int
	place    *Place
	tokens   float64
	sent     time.Time
	lastSeen time.Time
	events   int
	counted  bool // it arrived after the last group opened
}

// spreadGroup is an engine that works in passes.
type spreadGroup struct {
	slowness        float64 // factor on all times
	waiting, inPass []*spreadRequest
	passEnd         time.Time
	largest         int
}

func (g *spreadGroup) running() int { return len(g.waiting) + len(g.inPass) }

// beginPass starts a pass that reads all waiting prompts.
func (g *spreadGroup) beginPass(figures *engine.Figures, now time.Time) {
	seconds := figures.Write(float64(g.running()), 0)
	for _, r := range g.waiting {
		seconds += figures.Read(r.tokens)
	}
	g.inPass, g.waiting = append(g.inPass, g.waiting...), nil
	g.passEnd = now.Add(time.Duration(seconds * spreadModel.Pace * g.slowness * float64(time.Second)))
}

// spreadLoad describes what a spreadFleet has to do.
type spreadLoad struct {
	dataCentres   []string
	callersShare  float64                         // share of the requests whose callers are in the first data centre
	tokens        func(random *rand.Rand) float64 // of a prompt
	unreadUnknown bool                            // nodes do not report their unread tokens
	figures       *engine.Figures                 // nil for those of spreadModel
	slowGroup     bool                            // group 0 takes four times as long
}

// spreadResult is what a spreadFleet measured after its last group opened.
type spreadResult struct {
	requests, sends, rejected, unplaced, inTime int
	largest, largestNew                         int // most running requests, and those sent but rejected, of any and of the new group
}

func (r *spreadResult) add(o spreadResult) {
	r.requests += o.requests
	r.sends += o.sends
	r.rejected += o.rejected
	r.unplaced += o.unplaced
	r.inTime += o.inTime
	r.largest, r.largestNew = max(r.largest, o.largest), max(r.largestNew, o.largestNew)
}

func (r *spreadResult) rejectedShare() float64 { return float64(r.rejected) / float64(max(1, r.sends)) }
func (r *spreadResult) inTimeShare() float64   { return float64(r.inTime) / float64(max(1, r.requests)) }

func (r spreadResult) String() string {
	return fmt.Sprintf("%d requests, %d sends, %.2f%% rejected, %d without a place, %.2f%% in time; largest group %d, new group %d",
		r.requests, r.sends, 100*r.rejectedShare(), r.unplaced, 100*r.inTimeShare(), r.largest, r.largestNew)
}

// spreadFleet is 24 nodes that choose among 26 simulated groups, without a network: each node's loads reach the others late.
type spreadFleet struct {
	load      spreadLoad
	random    *rand.Rand
	pickers   []*Picker
	groups    []*spreadGroup
	reports   [][]gossip.Status // of all nodes, latest last
	directory *endpoint.Directory
	others    []*gossip.Totals // as known to each node
	result    spreadResult
	measuring bool
}

const (
	spreadNodes  = 24
	spreadGroups = 26
	spreadRate   = 400 // requests per second
)

func newSpreadFleet(seed uint64, load spreadLoad, now time.Time, change func(*Picker)) *spreadFleet {
	f := &spreadFleet{
		load: load, random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // fixed seed for reproducibility
		directory: endpoint.NewDirectory(time.Second), others: make([]*gossip.Totals, spreadNodes),
	}
	for i := range spreadNodes {
		dataCentre := load.dataCentres[i%len(load.dataCentres)]
		f.others[i] = gossip.NewTotals()
		p := New(Options{
			DataCentre: dataCentre, Directory: f.directory, Others: func(time.Time) *gossip.Totals { return f.others[i] },
			Retiring: func(time.Time) map[string]bool { return nil },
		})
		p.randomState = seed<<32 + uint64(i)*0x9e3779b97f4a7c15 //nolint:gosec // small
		if change != nil {
			change(p)
		}
		f.pickers = append(f.pickers, p)
	}
	for range spreadGroups - 1 {
		f.open(now)
	}
	return f
}

// open opens one more group.
func (f *spreadFleet) open(now time.Time) {
	i := len(f.groups)
	id := fmt.Sprint(i)
	f.directory.Apply([]*endpoint.Endpoint{{
		ID: id, Service: "lm", DataCentre: f.load.dataCentres[i%len(f.load.dataCentres)], Models: []string{"m"}, Slots: spreadSlots,
		Membership: &endpoint.Membership{Group: id, Epoch: 1, State: endpoint.Open},
	}}, nil, now)
	g := &spreadGroup{slowness: 1}
	if i == 0 && f.load.slowGroup {
		g.slowness = 4
	}
	f.groups = append(f.groups, g)
}

// run plays the fleet for warmUp, opens one group and measures for the rest of the time.
func (f *spreadFleet) run(start time.Time, warmUp, measured time.Duration) spreadResult {
	for t := time.Duration(0); t < warmUp+measured+spreadSettle; t += spreadTick {
		now := start.Add(t)
		if t == warmUp {
			f.open(now)
			f.measuring = true
			for _, g := range f.groups {
				g.largest = 0
			}
		}
		if t == warmUp+measured {
			f.measuring = false // the requests that have been sent still count
		}
		if t%reportInterval == 0 {
			f.exchangeReports(now)
		}
		for n := f.random.Float64(); n < spreadRate*spreadTick.Seconds(); n++ {
			f.arrive(now)
		}
		for _, g := range f.groups {
			f.step(g, now)
		}
	}
	for _, g := range f.groups {
		f.result.largest = max(f.result.largest, g.largest)
	}
	f.result.largestNew = f.groups[len(f.groups)-1].largest
	return f.result
}

// exchangeReports lets every node report, and gives it the reports that the others made reportDelay ago.
func (f *spreadFleet) exchangeReports(now time.Time) {
	statuses := make([]gossip.Status, len(f.pickers))
	for i, p := range f.pickers {
		p.Report(&statuses[i], now)
		statuses[i].Busy = 1
		if f.load.unreadUnknown {
			statuses[i].Unread = nil
		}
	}
	f.reports = append(f.reports, statuses)
	late := len(f.reports) - 1 - int(reportDelay/reportInterval)
	if late < 0 {
		return
	}
	for i := range f.pickers {
		total := gossip.NewTotals()
		for j := range f.reports[late] {
			if j != i {
				total.Add(&f.reports[late][j])
			}
		}
		f.others[i] = total
	}
}

// arrive sends a request that has just come to one of the nodes.
func (f *spreadFleet) arrive(now time.Time) {
	home := 0
	if f.random.Float64() >= f.load.callersShare && len(f.load.dataCentres) > 1 {
		home = 1 + f.random.IntN(len(f.load.dataCentres)-1)
	}
	node := home + len(f.load.dataCentres)*f.random.IntN(spreadNodes/len(f.load.dataCentres))
	tokens := f.load.tokens(f.random)
	w := &Requirements{
		Service: "lm", Model: "m", Slots: spreadSlots, Size: 1, PromptTokens: int(tokens), Objective: spreadObjective,
		Engine: engine.Model{Figures: *f.figures(), Pace: spreadModel.Pace},
	}
	p := f.pickers[node]
	p.recordArrival(w, now)
	if f.measuring {
		f.result.requests++
	}
	for range retryAttempts {
		place, err := p.tryAcquire(w, now, false)
		if place == nil || err != nil {
			break
		}
		if f.send(&spreadRequest{node: node, place: place, tokens: tokens, sent: now, counted: f.measuring}, now) {
			return
		}
		w.Exclude = append(w.Exclude, place.Group)
	}
	if f.measuring {
		f.result.unplaced++
	}
}

// send sends a request to the group of its place and reports whether the group accepted it.
func (f *spreadFleet) send(r *spreadRequest, now time.Time) bool {
	g := f.groups[f.indexOf(r.place)]
	if f.measuring {
		f.result.sends++
	}
	g.largest = max(g.largest, g.running()+1)
	if g.running() >= spreadSlots {
		if f.measuring {
			f.result.rejected++
		}
		r.place.RecordRefusal(now)
		r.place.Release()
		return false
	}
	g.waiting = append(g.waiting, r)
	return true
}

func (f *spreadFleet) indexOf(p *Place) int {
	var i int
	_, _ = fmt.Sscan(p.Group, &i)
	return i
}

// step ends the group's pass if it is due, and begins the next.
func (f *spreadFleet) step(g *spreadGroup, now time.Time) {
	if now.Before(g.passEnd) {
		return
	}
	var left []*spreadRequest
	for _, r := range g.inPass {
		f.recordEvent(r, now)
		if r.events < spreadEvents {
			left = append(left, r)
		}
	}
	if g.inPass = left; g.running() > 0 {
		g.beginPass(f.figures(), now)
	}
}

func (f *spreadFleet) recordEvent(r *spreadRequest, now time.Time) {
	r.events++
	if r.events == 1 {
		latency := now.Sub(r.sent)
		if f.pickers[r.node].isRemote(r.place.Endpoint) {
			latency += 2 * time.Millisecond
		}
		r.place.RecordFirstEvent(latency, now)
		if r.counted && latency <= spreadObjective {
			f.result.inTime++
		}
	} else {
		r.place.RecordEvent(now.Sub(r.lastSeen), now)
	}
	r.lastSeen = now
	if r.events == spreadEvents {
		r.place.Release()
	}
}

// figures returns those of the fleet's engines.
func (f *spreadFleet) figures() *engine.Figures {
	if f.load.figures != nil {
		return f.load.figures
	}
	return &spreadModel.Figures
}

func sameTokens(*rand.Rand) float64 { return 674 }

// playSpread plays several fleets and returns the sum of their results.
func playSpread(load spreadLoad, change func(*Picker)) spreadResult {
	var sum spreadResult
	for seed := range uint64(2) {
		start := time.Now()
		r := newSpreadFleet(seed+1, load, start, change).run(start, 3*time.Second, 4*time.Second)
		sum.add(r)
	}
	return sum
}

// TestNewGroupIsFilledAtABoundedRate guards against rejected sends to groups that are full but were reported otherwise, most of
// all to one that has just opened. It compares the choice that counts what the other nodes have probably sent since their
// reports with the one by the reported loads alone.
func TestNewGroupIsFilledAtABoundedRate(t *testing.T) {
	var with, without spreadResult
	byCount := func(p *Picker) { p.chooseByCount = true }
	for _, load := range []spreadLoad{
		{dataCentres: []string{"a"}, callersShare: 1, tokens: sameTokens},
		{dataCentres: []string{"a", "b", "c"}, callersShare: 0.8, tokens: sameTokens},
	} {
		counted, ignored := playSpread(load, byCount), playSpread(load, func(p *Picker) { p.chooseByCount, p.ignoreUnreported = true, true })
		t.Logf("%d data centres, unreported sends counted: %v", len(load.dataCentres), counted)
		t.Logf("%d data centres, reported loads alone: %v", len(load.dataCentres), ignored)
		qt.Check(t, counted.rejectedShare() < 0.005, qt.IsTrue, qt.Commentf("%v", counted))
		with.add(counted)
		without.add(ignored)
	}
	// The order of a map varies between runs, so that only the sum over both loads is large enough to compare.
	qt.Check(t, with.rejectedShare() <= without.rejectedShare()/2, qt.IsTrue, qt.Commentf("%v; without the unreported sends %v", with, without))
}

func TestUnreportedSendsDecay(t *testing.T) {
	p, now := New(Options{}), time.Now()
	others := gossip.NewTotals()
	others.Busy = 5
	qt.Check(t, p.unreported("g", others, now), qt.Equals, 0.0)
	p.healthOf("g", now).recentSends.add(now)
	p.healthOf("g", now).recentSends.add(now)
	qt.Check(t, p.unreported("g", others, now), qt.Equals, 10.0, qt.Commentf("two requests from each of five other nodes"))
	later := p.unreported("g", others, now.Add(reportAge))
	qt.Check(t, later > 3 && later < 4, qt.IsTrue, qt.Commentf("%v a report's age later", later))
	qt.Check(t, p.unreported("g", gossip.NewTotals(), now), qt.Equals, 0.0, qt.Commentf("no other node is busy"))
}

// spreadTokens returns lengths from a third of the usual one to three times it.
func spreadTokens(random *rand.Rand) float64 { return 674 / 1.214 * math.Pow(3, 2*random.Float64()-1) }

// readBound are figures with which groups spend 40% of the time reading at 400 requests per second, so that the lengths of the
// prompts decide which requests are in time.
var readBound = engine.Figures{Step: 6 * time.Millisecond, PerWriter: 30 * time.Microsecond, ReadPerSecond: 15_000, Stride: 7}

// TestChoiceByLossKeepsMoreRequestsInTime compares the choice by the predicted loss with the one by count, at prompts whose lengths
// spread threefold to both sides, one slow group and a data centre with four fifths of the callers. It guards against a loss that
// is worse than the count, also while other nodes do not report unread tokens.
func TestChoiceByLossKeepsMoreRequestsInTime(t *testing.T) {
	load := spreadLoad{dataCentres: []string{"a", "b", "c"}, callersShare: 0.8, tokens: spreadTokens, slowGroup: true}
	byCount := func(p *Picker) { p.chooseByCount = true }
	writeBoundLoss, writeBoundCount := playSpread(load, nil), playSpread(load, byCount)
	t.Logf("groups that mostly write, by loss: %v", writeBoundLoss)
	t.Logf("groups that mostly write, by count: %v", writeBoundCount)
	qt.Check(t, writeBoundLoss.inTimeShare() > writeBoundCount.inTimeShare()-0.005, qt.IsTrue, qt.Commentf("%v, by count %v", writeBoundLoss, writeBoundCount))
	load.figures = &readBound
	loss, count := playSpread(load, nil), playSpread(load, byCount)
	t.Logf("groups that read much, by loss: %v", loss)
	t.Logf("groups that read much, by count: %v", count)
	qt.Check(t, loss.inTimeShare() > count.inTimeShare(), qt.IsTrue, qt.Commentf("%v, by count %v", loss, count))
	load.unreadUnknown = true
	unknown := playSpread(load, nil)
	t.Logf("groups that read much, by loss, unread tokens of other nodes unknown: %v", unknown)
	qt.Check(t, unknown.inTimeShare() > count.inTimeShare(), qt.IsTrue, qt.Commentf("%v, by count %v", unknown, count))
}
