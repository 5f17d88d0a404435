package standin

import (
	"net/http"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/infra"
)

// VMList emulates the platform's VM list, which shows each change only after a lag.
type VMList struct {
	*Server
	lag     time.Duration
	mu      sync.Mutex
	history []vmListState
}

type vmListState struct {
	at  time.Time
	vms []infra.VM
}

// StartVMList starts an empty list with the given lag on a loopback host.
func StartVMList(host string, lag time.Duration) (*VMList, error) {
	l := &VMList{lag: lag}
	var err error
	l.Server, err = StartServer(anyPort(host), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, l.visible())
	}))
	return l, err
}

// Set replaces the list; clients see the change after the lag.
func (l *VMList) Set(vms []infra.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, vmListState{time.Now(), vms})
}

// Current returns the latest list, ignoring the lag.
func (l *VMList) Current() []infra.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.history) == 0 {
		return nil
	}
	return l.history[len(l.history)-1].vms
}

func (l *VMList) visible() []infra.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []infra.VM{}
	for _, state := range l.history {
		if time.Since(state.at) >= l.lag {
			out = state.vms
		}
	}
	return out
}
