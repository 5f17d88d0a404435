package main

import (
	"maps"
	"slices"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
	"moorrun.dev/moorrun/internal/standin/paths"
)

// injectFault injects one randomly chosen fault, or two that occur together, for a random time. Lost or cut answers
// and answers under another request's ID are limited by number, not by time.
func (w *workload) injectFault() {
	w.results.mu.Lock()
	w.results.faults++
	w.results.mu.Unlock()
	duration := time.Duration(200+w.faultRand.IntN(2500)) * time.Millisecond
	i := w.faultRand.IntN(len(w.nodes))
	node := w.nodes[i]
	linkFaults := []standin.Fault{standin.Disconnect, standin.Stall, standin.StallReplies, standin.Delay}
	fault := linkFaults[w.faultRand.IntN(len(linkFaults))]
	engine := w.lab.Engines[w.randomEngineVM()]
	endpoint := w.lab.PlainEndpoints[[]string{"receipts-1", "receipts-2"}[w.faultRand.IntN(2)]]
	switch w.faultRand.IntN(20) {
	case 0:
		node.Kill()
		time.Sleep(duration)
		w.restartNode(i)
	case 1:
		node.Pause(true)
		time.Sleep(duration)
		node.Pause(false)
	case 2:
		node.PeerProxy.SetFault(fault)
		time.Sleep(duration)
		node.PeerProxy.SetFault(standin.NoFault)
	case 3:
		node.StoreProxy.SetFault(fault)
		time.Sleep(duration)
		node.StoreProxy.SetFault(standin.NoFault)
	case 4:
		w.lab.Objects.Down.Store(true)
		time.Sleep(2 * duration)
		w.lab.Objects.Down.Store(false)
	case 5:
		w.lab.Objects.DelayMillis.Store(int64(100 + w.faultRand.IntN(600)))
		time.Sleep(duration)
		w.lab.Objects.DelayMillis.Store(0)
	case 6:
		w.lab.Objects.DropNextResponses.Store(int64(1 + w.faultRand.IntN(5)))
	case 7:
		engine.Kill()
		time.Sleep(2 * duration)
		_ = engine.Restart()
	case 8:
		engine.Freeze(true)
		time.Sleep(duration)
		engine.Freeze(false)
	case 9:
		w.lab.EngineProxies[engine.VM].SetFault(fault)
		time.Sleep(duration)
		w.lab.EngineProxies[engine.VM].SetFault(standin.NoFault)
	case 10:
		engine.MisattributeNext.Store(true)
		endpoint.AbortNext.Store(int64(1 + w.faultRand.IntN(3)))
	case 11:
		w.lab.CLI("drain", engine.VM)
		time.Sleep(duration)
		w.lab.CLI("drain", engine.VM, "--undo")
	case 12:
		engine.RetryAfterSeconds.Store(1)
		time.Sleep(duration)
		engine.RetryAfterSeconds.Store(0)
	case 13:
		w.cutPaths(duration)
	case 14: // an endpoint is silent while a node has no path to any
		engine.Freeze(true)
		w.cutPaths(duration)
		engine.Freeze(false)
	case 15:
		w.requestDeadlyCompletions(2 + w.faultRand.IntN(6))
	case 16:
		w.failEnginesDuringRestarts(i, duration)
	case 17:
		w.killRelayingNodes(duration)
	case 18:
		w.pauseInSeries()
	default: // a paused node during a store outage
		node.Pause(true)
		w.lab.Objects.Down.Store(true)
		time.Sleep(duration)
		w.lab.Objects.Down.Store(false)
		node.Pause(false)
	}
	time.Sleep(time.Duration(w.faultRand.IntN(400)) * time.Millisecond)
}

// pauseInSeries pauses engines and nodes, one, most or all at a time, for 0.5 to 2 s each.
func (w *workload) pauseInSeries() {
	vms := slices.Sorted(maps.Keys(w.lab.Engines))
	for range 2 + w.faultRand.IntN(3) {
		engines, nodes := w.some(len(vms)), w.some(len(w.nodes))
		pauseNodes := w.faultRand.IntN(2) == 0
		for _, i := range engines {
			w.lab.Engines[vms[i]].Freeze(true)
		}
		for _, i := range nodes {
			w.nodes[i].Pause(pauseNodes)
		}
		time.Sleep(time.Duration(500+w.faultRand.IntN(1500)) * time.Millisecond)
		for _, i := range nodes {
			w.nodes[i].Pause(false)
		}
		for _, i := range engines {
			w.lab.Engines[vms[i]].Freeze(false)
		}
		time.Sleep(time.Duration(w.faultRand.IntN(500)) * time.Millisecond)
	}
}

// some returns the indexes of one, most or all of n things.
func (w *workload) some(n int) []int {
	return w.faultRand.Perm(n)[:[]int{1, n - 1, n}[w.faultRand.IntN(3)]]
}

// cutPaths cuts the paths of one node to all engines and endpoints for a while, twice.
func (w *workload) cutPaths(d time.Duration) {
	modes := []paths.Mode{paths.Refused, paths.Silent, paths.Reset}
	for range 2 {
		w.paths.Set(w.cuttable.Settings.VM, modes[w.faultRand.IntN(len(modes))], nil)
		time.Sleep(d)
		w.paths.Set(w.cuttable.Settings.VM, paths.Open, nil)
		time.Sleep(d / 4)
	}
}

// pauseWithinAnswers is how long plain endpoints pause within their answers while the nodes that relay these are killed.
const pauseWithinAnswers = 150 * time.Millisecond

// killRelayingNodes kills one node after the other while a node reaches endpoints through these only, and the endpoints answer
// without a length.
func (w *workload) killRelayingNodes(d time.Duration) {
	for _, e := range w.lab.PlainEndpoints {
		e.PauseWithinMillis.Store(pauseWithinAnswers.Milliseconds())
	}
	w.paths.Set(w.cuttable.Settings.VM, paths.Refused, nil)
	for i, n := range w.nodes {
		time.Sleep(d / 4)
		n.Kill()
		time.Sleep(d / 4)
		w.restartNode(i)
	}
	w.paths.Set(w.cuttable.Settings.VM, paths.Open, nil)
	for _, e := range w.lab.PlainEndpoints {
		e.PauseWithinMillis.Store(0)
	}
}

// randomEngineVM returns the name of a randomly chosen engine VM.
func (w *workload) randomEngineVM() string {
	prefix := []string{"rvk-1-a-", "rvk-2-a-"}[w.faultRand.IntN(2)]
	return prefix + string(rune('1'+w.faultRand.IntN(9)))
}

// restartNode starts a process without any state for a killed node's VM.
func (w *workload) restartNode(i int) {
	n, err := w.lab.Restart(w.nodes[i])
	if err != nil {
		w.results.addViolation("%v", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = n
	w.processes++
}

// clearFaults ends the store faults, engine link faults and drains that are still in effect.
func (w *workload) clearFaults() {
	w.lab.Objects.Down.Store(false)
	w.lab.Objects.DelayMillis.Store(0)
	w.lab.Objects.DropNextResponses.Store(0)
	for vm := range w.lab.Engines {
		w.lab.EngineProxies[vm].SetFault(standin.NoFault)
	}
	_ = lab.WaitUntil(10*time.Second, "drains undone", func() bool {
		s, err := w.lab.Status()
		if err != nil {
			return false
		}
		undone := true
		for _, vm := range s.VMs {
			if vm.Drained {
				undone = w.lab.CLI("drain", vm.Name, "--undo").Code == 0 && undone
			}
		}
		return undone
	})
}
