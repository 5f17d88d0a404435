package server

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/metrics"
)

const (
	metricsPrefix   = "moorrun"
	metricsInterval = time.Second
	metricsPath     = "/metrics"
)

// newScope returns the root scope of this process's metrics, which writes to reporter, and the closer of that scope.
func newScope(reporter *metrics.Reporter, dataCentre string) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricsPrefix, Reporter: reporter, Separator: "_", Tags: map[string]string{"data_centre": dataCentre},
	}, metricsInterval)
}

// newOlderCounter returns a function that counts the objects that were older than those of this node's copy, by where they came from.
func newOlderCounter(scope tally.Scope) func(source string, n int) {
	return func(source string, n int) {
		scope.Tagged(map[string]string{"source": source}).Counter("older_versions_dropped").Inc(int64(n))
	}
}

// newHeldCounter returns a function that counts the changes that have been held back, by what became of them.
func newHeldCounter(scope tally.Scope) func(applied, dropped int) {
	count := func(outcome string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": outcome}).Counter("held_changes")
	}
	appliedCount, droppedCount := count("applied"), count("dropped")
	return func(applied, dropped int) {
		appliedCount.Inc(int64(applied))
		droppedCount.Inc(int64(dropped))
	}
}

// metricsHandler serves this process's metrics and the overview of the fleet.
func (n *Server) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+overviewPath, n.serveOverview)
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_ = n.reporter.Write(w)
	})
	return mux
}

// updateGauges updates the gauges every metricsInterval until ctx ends.
func (n *Server) updateGauges(ctx context.Context) error {
	s := n.scope
	loop.Every(ctx, metricsInterval, func(now time.Time) {
		s.Gauge("store_era").Update(float64(n.platform.Era()))
		s.Gauge("configuration_proof_age_seconds").Update(now.Sub(n.configurationProof.current()).Seconds())
		s.Gauge("endpoints_proof_age_seconds").Update(now.Sub(n.endpointsProof.current()).Seconds())
		n.updateFetchAges(now)
		s.Gauge("isolated").Update(boolGauge(n.reach.Isolated()))
		s.Gauge("endpoints_detoured").Update(float64(n.dialer.Detours()))
		s.Gauge("tunnels_open").Update(float64(n.tunnels.Open()))
		s.Gauge("peers_live").Update(float64(len(n.gossip.Live(now))))
		s.Gauge("quarantine_held").Update(float64(len(n.quarantine.Holds(now))))
		s.Gauge("leader_epoch").Update(float64(n.controller.Leads(now)))
		if t := n.table.Load(); t != nil {
			s.Gauge("configuration_version").Update(float64(t.Version))
		}
		snapshot := n.directory.Read()
		open := 0
		for _, g := range snapshot.Groups {
			if g.Head != nil && g.Head.Membership.State == endpoint.Open {
				open++
			}
		}
		s.Gauge("groups").Update(float64(len(snapshot.Groups)))
		s.Gauge("groups_open").Update(float64(open))
		s.Gauge("endpoints_pausing").Update(float64(n.picker.Pausing(now)))
		s.Gauge("endpoints_limited").Update(float64(n.rates.CountNamed()))
		s.Gauge("endpoints").Update(float64(len(snapshot.Endpoints)))
		n.updateFormationGauges(now)
		status := n.ownStatus(now)
		demand := gossip.SumDemands(status.Demands)
		s.Gauge("requests_running").Update(float64(demand.Running))
		s.Gauge("requests_waiting").Update(float64(demand.Waiting))
		s.Gauge("groups_suspected").Update(float64(len(status.Suspects)))
		s.Gauge("held_bytes").Update(float64(n.platform.Held()))
		for service, b := range n.gateway.RetryBudgets(now) {
			tagged := s.Tagged(map[string]string{"service": service})
			tagged.Gauge("retries_counted").Update(float64(b.Retries))
			tagged.Gauge("retries_available").Update(b.Available)
		}
		nodes := n.nodeCounts()
		s.Gauge("retry_nodes").Update(float64(nodes.All))
		s.Gauge("retry_nodes_busy").Update(float64(nodes.Busy))
		s.Gauge("goroutines").Update(float64(runtime.NumGoroutine()))
	})
	return nil
}

// updateFetchAges updates the gauges that tell how long ago the store and another node last answered this node.
func (n *Server) updateFetchAges(now time.Time) {
	store, peer := n.follower.LastAnswers()
	for source, at := range map[string]time.Time{"store": store, "peer": peer} {
		if !at.IsZero() {
			n.scope.Tagged(map[string]string{"source": source}).Gauge("last_fetch_age_seconds").Update(now.Sub(at).Seconds())
		}
	}
}

// boolGauge returns the value of a gauge that is 1 while a condition holds.
func boolGauge(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
