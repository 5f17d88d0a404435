package gateway

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
)

// callAll calls the plain service and the replica groups through all nodes until ctx ends, and returns what was not answered whole.
func (f *fleet) callAll(ctx context.Context) (failures []string) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	call := func(n *node, name string, send func() (status int, whole bool)) {
		callers.Go(func() {
			for ctx.Err() == nil {
				at := time.Since(f.started)
				if status, whole := send(); !whole {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s at %s, %v after the start: status %d", name, n.settings.VM, at, status))
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for _, n := range f.nodes {
		call(n, "plain", func() (int, bool) { r := f.call(n, "/once/x", "key-1"); return r.status, r.status == http.StatusOK })
		call(n, "stream", func() (int, bool) { r := f.stream(n, "key-1"); return r.status, r.isComplete() })
	}
	callers.Wait()
	return failures
}

// Guards against requests that are refused because the entries of live endpoints, plain ones and heads of groups, have lapsed while the
// store was unavailable. They are back within two seconds of its return.
func TestEntriesThatLapseWithTheStoreCostNoRequest(t *testing.T) {
	const (
		untilLapse  = 3500 * time.Millisecond
		untilReturn = 300 * time.Millisecond
		untilBack   = 1950 * time.Millisecond
		untilEnd    = 2 * time.Second
	)
	f := newFleetWith(t, func(s *settings.Gateway) { s.CredentialProofMS = 60000 })
	ctx, cancel := context.WithCancel(t.Context())
	failures := make(chan []string, 1)
	go func() { failures <- f.callAll(ctx) }()
	f.platform.Store.SetDown(true)
	time.Sleep(untilLapse)
	f.platform.RemoveEntries()
	time.Sleep(untilReturn)
	f.platform.Store.SetDown(false)
	time.Sleep(untilBack)
	f.platform.WriteEntries()
	time.Sleep(untilEnd)
	cancel()
	qt.Check(t, <-failures, qt.HasLen, 0)
}
