package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/settings"
	"moorrun.dev/moorrun/internal/standin/estate"
)

func TestAnswersOfBothKindsAreComplete(t *testing.T) {
	f := newFleet(t)
	for _, n := range f.nodes {
		s := f.stream(n, "key-2")
		qt.Check(t, s.isComplete(), qt.IsTrue, qt.Commentf("%+v", s))
		qt.Check(t, s.header.Get("X-Moorrun-Server-Seal"), qt.Equals, "seal-"+s.id)
		qt.Check(t, f.platform.Runs(s.id)[0].Tenant, qt.Equals, "tenant-1")
		c := f.call(n, "/once/x", "key-1")
		qt.Check(t, c.body, qt.Equals, "whole answer to "+c.id)
	}
	var list struct {
		Addresses []string `json:"addresses"`
	}
	r, err := http.Get("http://" + f.nodes[0].settings.RegistryAddress + "/v1/resolve?name=h.example&zone=z1")
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close() //nolint:errcheck // the body is read to its end
	qt.Assert(t, json.NewDecoder(r.Body).Decode(&list), qt.IsNil)
	qt.Check(t, list.Addresses, qt.HasLen, 3)
	qt.Check(t, f.call(f.nodes[0], "/none/x", "key-1").status, qt.Equals, http.StatusNotFound)
	qt.Check(t, f.call(f.nodes[0], "/once/x", "stolen").status, qt.Equals, http.StatusUnauthorized)
}

func TestStreamsOutliveTheDeathOfAHead(t *testing.T) {
	f := newFleet(t)
	for _, r := range f.runStreams(func() { f.platform.OpenHeads()[0].Kill(300 * time.Millisecond) }) {
		qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("%s: status %d, %d events, %v", r.id, r.status, len(r.events), r.err))
		qt.Check(t, len(f.platform.Runs(r.id)) <= 2, qt.IsTrue)
	}
	f.await("three groups are open", func() bool { return len(f.platform.OpenHeads()) == 3 })
}

func TestStreamsOutliveAGroupThatStandsStill(t *testing.T) {
	f := newFleet(t)
	head := f.platform.OpenHeads()[0]
	head.StallStreams(true)
	for range 12 {
		r := f.stream(f.nodes[0], "key-1")
		qt.Check(t, r.isComplete(), qt.IsTrue, qt.Commentf("%+v", r))
	}
}

func TestRequestThatMayRunOnceRunsOnceThoughItsAnswerIsLost(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		if w.Service == "plain" {
			w.DropNextResponses(1)
		}
	}
	r := f.call(f.nodes[0], "/once/x", "key-1")
	qt.Check(t, r.status, qt.Equals, http.StatusGatewayTimeout)
	qt.Check(t, f.platform.Runs(r.id), qt.HasLen, 1)
	r = f.call(f.nodes[0], "/again/x", "key-1")
	qt.Check(t, r.body, qt.Equals, "whole answer to "+r.id, qt.Commentf("an idempotent request is retried at another endpoint"))
}

func TestRefusalAsNotRunIsTrueAndSaysWhenToComeBack(t *testing.T) {
	f := newFleet(t)
	for _, w := range f.platform.Workers() {
		w.Refuse(true)
	}
	for _, path := range []string{"/once/x", "/again/x", "/lm/x"} {
		r := f.call(f.nodes[0], path, "key-1")
		qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, r.header.Get("Retry-After") != "", qt.IsTrue)
		qt.Check(t, f.platform.Runs(r.id), qt.HasLen, 0)
	}
}

func TestConfigurationIsInForceEverywhereAndCredentialsEnd(t *testing.T) {
	f := newFleet(t)
	f.platform.Configure(2, 5000, "key-2", "key-3")
	for _, n := range f.nodes {
		f.await("the new credential is accepted", func() bool { return f.call(n, "/once/x", "key-3").status == http.StatusOK })
		qt.Check(t, f.call(n, "/once/x", "key-1").status, qt.Equals, http.StatusUnauthorized, qt.Commentf("a node must not go back to the earlier configuration"))
	}
}

func TestWithoutTheStoreCredentialsCountForAWhileOnly(t *testing.T) {
	f := newFleet(t)
	f.platform.Store.SetDown(true)
	qt.Check(t, f.call(f.nodes[0], "/once/x", "key-1").status, qt.Equals, http.StatusOK)
	f.await("a credential that may have been revoked is refused", func() bool {
		r := f.call(f.nodes[1], "/once/x", "key-1")
		return r.status == http.StatusServiceUnavailable && len(f.platform.Runs(r.id)) == 0
	})
	f.platform.Store.SetDown(false)
	f.await("the credential is accepted again", func() bool { return f.call(f.nodes[1], "/once/x", "key-1").status == http.StatusOK })
}

func TestWithoutTheStoreCredentialsGoOnCountingWhereNoProofIsRequired(t *testing.T) {
	proof := 600 * time.Millisecond
	f := newFleetWith(t, func(s *settings.Gateway) {
		s.CredentialProofRequired = false
		s.CredentialProofMS = int(proof.Milliseconds())
	})
	f.platform.Store.SetDown(true)
	f.await("the node logs that the configuration is not proved current", func() bool {
		return f.nodes[1].countLogged("configuration is not proved current") > 0
	})
	time.Sleep(2 * proof)
	qt.Check(t, f.call(f.nodes[1], "/once/x", "key-1").status, qt.Equals, http.StatusOK)
	qt.Check(t, f.nodes[1].isReady(), qt.IsTrue)
	qt.Check(t, f.call(f.nodes[1], "/once/x", "key-new").status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the credential may have been added in the meantime"))
	f.platform.Store.SetDown(false)
	f.platform.Configure(2, 5000, "key-2")
	f.await("the newer configuration is in force", func() bool { return f.call(f.nodes[1], "/once/x", "key-1").status == http.StatusUnauthorized })
}

func TestRestartedNodeGetsTheConfigurationFromOthersWhileTheStoreIsDown(t *testing.T) {
	f := newFleet(t)
	f.platform.Store.SetDown(true)
	n := f.nodes[2]
	n.kill()
	f.start(n)
	f.await("the restarted node has the configuration in force", func() bool {
		return n.countLogged("configuration in force") == 2
	})
}

func TestAnotherNodeLeadsAfterTheLeadersDeath(t *testing.T) {
	f := newFleet(t)
	leader := f.leader()
	leader.kill()
	f.await("another node leads", func() bool {
		for _, n := range f.nodes {
			if n != leader && n.leads() {
				return true
			}
		}
		return false
	})
	f.start(leader)
	f.platform.OpenHeads()[0].Kill(300 * time.Millisecond)
	f.await("three complete groups are open", func() bool { return len(f.platform.OpenHeads()) == 3 })
	f.await("the restarted node serves", func() bool { return f.stream(leader, "key-1").isComplete() })
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	newFleet(t).stopUnderLoad(func(leaving *node) { leaving.signal(syscall.SIGTERM) })
}

// Guards against a reload signal killing a process that is stopping, along with the requests that it still has to finish.
func TestReloadDuringAPlannedStopCutsOffNothing(t *testing.T) {
	newFleet(t).stopUnderLoad(func(leaving *node) {
		leaving.signal(syscall.SIGTERM)
		for range 3 {
			time.Sleep(50 * time.Millisecond)
			leaving.signal(syscall.SIGHUP)
			leaving.signal(syscall.SIGTERM)
		}
	})
}

// stopUnderLoad stops the second node while it serves requests, and checks that all of them succeed and that the process
// exits without an error.
func (f *fleet) stopUnderLoad(stop func(leaving *node)) {
	leaving := f.nodes[1]
	var wg sync.WaitGroup
	results := make(chan *result, 30)
	for i := range 10 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			results <- f.stream(leaving, "key-1")
			results <- f.call(leaving, "/once/x", "key-1")
		})
	}
	time.Sleep(100 * time.Millisecond)
	stop(leaving)
	wg.Wait()
	close(results)
	for r := range results {
		qt.Check(f.t, r.err, qt.IsNil)
		qt.Check(f.t, r.status, qt.Equals, http.StatusOK, qt.Commentf("%+v", r))
	}
	qt.Check(f.t, leaving.isReady(), qt.IsFalse)
	qt.Check(f.t, <-leaving.exited, qt.IsNil)
	leaving.exited <- nil
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	f := newFleet(t)
	var leaving *estate.Worker
	for _, w := range f.platform.Workers() {
		if w.Service == "plain" {
			leaving = w
		}
	}
	leaving.Drain()
	inARow := 0
	f.await("twenty calls in a row go to another worker", func() bool {
		r := f.call(f.nodes[0], "/once/x", "key-1")
		inARow++
		if f.platform.Runs(r.id)[0].Worker == leaving.ID {
			inARow = 0
		}
		return inARow == 20
	})
}

func TestMetricsReportTheOutcomeOfRequests(t *testing.T) {
	f := newFleet(t)
	qt.Check(t, f.call(f.nodes[0], "/once/x", "stolen").status, qt.Equals, http.StatusUnauthorized)
	var text []byte
	defer func() {
		if t.Failed() {
			t.Logf("%s", text)
		}
	}()
	f.await("the metrics include the refusal, the open groups and the first events", func() bool {
		r, err := http.Get("http://" + f.nodes[0].settings.MetricsAddress + "/metrics")
		if err != nil {
			return false
		}
		defer r.Body.Close() //nolint:errcheck // the body is read to its end
		text, _ = io.ReadAll(r.Body)
		return strings.Contains(string(text), `moorrun_requests_refused{data_centre="z1",reason="no-credential"} 1`) &&
			strings.Contains(string(text), `moorrun_groups_open{data_centre="z1"} 4`) &&
			strings.Contains(string(text), `moorrun_first_event_seconds_count{data_centre="z1"} `)
	})
}

func TestReloadKeepsTheProcess(t *testing.T) {
	f := newFleet(t)
	f.nodes[0].signal(syscall.SIGHUP)
	f.await("the settings are reloaded", func() bool {
		content, _ := os.ReadFile(f.nodes[0].logFile)
		return strings.Contains(string(content), "settings reloaded")
	})
	qt.Check(t, f.call(f.nodes[0], "/once/x", "key-1").status, qt.Equals, http.StatusOK)
}
