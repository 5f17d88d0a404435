package main

import (
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
)

// fault makes one fault, lets it work for a while and mostly ends it.
func (w *walk) fault() {
	w.tally.mu.Lock()
	w.tally.faults++
	w.tally.mu.Unlock()
	length := time.Duration(200+w.rand.IntN(2500)) * time.Millisecond
	i := w.rand.IntN(len(w.nodes))
	node := w.nodes[i]
	links := []standin.Fault{standin.Disconnect, standin.Stall, standin.StallReplies, standin.Delay}
	fault := links[w.rand.IntN(len(links))]
	engine := w.lab.Engines[w.engine()]
	plain := w.lab.PlainEndpoints[[]string{"receipts-1", "receipts-2"}[w.rand.IntN(2)]]
	switch w.rand.IntN(14) {
	case 0:
		node.Kill()
		time.Sleep(length)
		w.replace(i)
	case 1:
		node.Pause(true)
		time.Sleep(length)
		node.Pause(false)
	case 2:
		node.PeerProxy.SetFault(fault)
		time.Sleep(length)
		node.PeerProxy.SetFault(standin.NoFault)
	case 3:
		node.StoreProxy.SetFault(fault)
		time.Sleep(length)
		node.StoreProxy.SetFault(standin.NoFault)
	case 4:
		w.lab.Objects.Down.Store(true)
		time.Sleep(2 * length)
		w.lab.Objects.Down.Store(false)
	case 5:
		w.lab.Objects.DelayMillis.Store(int64(100 + w.rand.IntN(600)))
		time.Sleep(length)
		w.lab.Objects.DelayMillis.Store(0)
	case 6:
		w.lab.Objects.DropNextResponses.Store(int64(1 + w.rand.IntN(5)))
	case 7:
		engine.Kill()
		time.Sleep(2 * length)
		_ = engine.Restart()
	case 8:
		engine.Freeze(true)
		time.Sleep(length)
		engine.Freeze(false)
	case 9:
		w.lab.EngineProxies[engine.VM].SetFault(fault)
		time.Sleep(length)
		w.lab.EngineProxies[engine.VM].SetFault(standin.NoFault)
	case 10:
		engine.MisattributeNext.Store(true)
		plain.AbortNext.Store(int64(1 + w.rand.IntN(3)))
	case 11:
		w.lab.CLI("drain", engine.VM)
		time.Sleep(length)
		w.lab.CLI("drain", engine.VM, "--undo")
	case 12:
		engine.RetryAfterSeconds.Store(1)
		time.Sleep(length)
		engine.RetryAfterSeconds.Store(0)
	default: // two at once: a paused node, and the store out
		node.Pause(true)
		w.lab.Objects.Down.Store(true)
		time.Sleep(length)
		w.lab.Objects.Down.Store(false)
		node.Pause(false)
	}
	time.Sleep(time.Duration(w.rand.IntN(400)) * time.Millisecond)
}

// engine names an engine VM by the walk's own choice.
func (w *walk) engine() string {
	domain := []string{"rvk-1-a-", "rvk-2-a-"}[w.rand.IntN(2)]
	return domain + string(rune('1'+w.rand.IntN(9)))
}

// replace starts an empty process in a killed node's place.
func (w *walk) replace(i int) {
	n, err := w.lab.Restart(w.nodes[i])
	if err != nil {
		w.tally.violate("%v", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = n
}

// heal ends whatever is still broken.
func (w *walk) heal() {
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
		clean := true
		for _, vm := range s.VMs {
			if vm.Drained {
				clean = w.lab.CLI("drain", vm.Name, "--undo").Code == 0 && clean
			}
		}
		return clean
	})
}
