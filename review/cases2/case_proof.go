package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	proofRounds  = 13
	proofCut     = 5600 * time.Millisecond // how long the store turns the machine away
	revokeBound  = 5 * time.Second         // revoke_ms
	proofRate    = 300                     // requests a second with the key that is taken away
	proofRoutes  = 350                     // routes that the configuration has grown by
	proofTenants = 10
)

// playProof takes a key away while the store turns the machine away, and looks for requests with that key which run after the
// machine has its way to the store back.
func playProof(c *caseRun) ([]string, error) {
	runs := &executions{}
	for i := range 3 {
		w, err := startPlainWorker(c.store, runs, fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "portal", 5*time.Millisecond)
		if err != nil {
			return nil, err
		}
		c.closers = append(c.closers, func() { _ = w.server.Close() })
	}
	version := 1
	c.store.put("config", "main", proofConfig(version, "key-0"))
	m, g, err := c.startMachines()
	if err != nil {
		return nil, err
	}
	users := newClient("ficu95.example")
	if err := await("a request is served", 10*time.Second, func() bool {
		return users.send(m.front, http.MethodGet, "/puxa403/1", "key-0", 1500*time.Millisecond).status == http.StatusOK
	}); err != nil {
		return nil, err
	}
	var key atomic.Value
	key.Store("key-0")
	l := startLoad(proofRate, func() attempt {
		return users.send(m.front, http.MethodGet, "/puxa403/1", key.Load().(string), 1500*time.Millisecond)
	})
	acknowledged := make(map[string]time.Time) // by key, when it was taken away
	for round := range proofRounds {
		time.Sleep(time.Second)
		if c.trouble {
			g.set(busy)
			c.note("the store turns %s away", m.name)
		}
		time.Sleep(100 * time.Millisecond)
		gone := fmt.Sprintf("key-%d", round)
		version += 3
		c.store.put("config", "main", proofConfig(version, fmt.Sprintf("key-%d", round+1)))
		acknowledged[gone] = time.Now()
		c.note("configuration %d acknowledged, without %s", version, gone)
		time.Sleep(proofCut - 100*time.Millisecond)
		if c.trouble {
			g.set(serving)
			c.note("the store serves %s again", m.name)
		}
		time.Sleep(time.Second)
		key.Store(fmt.Sprintf("key-%d", round+1))
	}
	return judgeProof(c, l.end(), runs.all(), acknowledged), nil
}

// startMachines starts three machines. With the disruption, two of them are lost for good.
func (c *caseRun) startMachines() (*machine, *gate, error) {
	m, g, err := c.addMachine("edge-1", true, nil)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range []string{"edge-2", "edge-3"} {
		if _, _, err := c.addMachine(name, true, nil); err != nil {
			return nil, nil, err
		}
	}
	for _, other := range c.machines {
		if err := await(other.name+" is ready", 20*time.Second, other.isReady); err != nil {
			return nil, nil, err
		}
	}
	if c.trouble {
		for _, other := range c.machines[1:] {
			other.kill()
			c.note("machine %s is lost for good", other.name)
		}
		time.Sleep(4 * time.Second) // machines in touch are calm by now
	}
	return m, g, nil
}

// judgeProof returns the requests that ran although they were sent later than the bound after their key was taken away.
func judgeProof(c *caseRun, attempts []attempt, runs []execution, acknowledged map[string]time.Time) []string {
	c.requests(attempts, runs, func(a attempt, _ execution) bool {
		taken, gone := acknowledged[a.key]
		return gone && a.sent.Sub(taken) > revokeBound
	})
	ran := make(map[string]execution)
	for _, e := range runs {
		ran[e.attempt] = e
	}
	var breaches []string
	statuses := make(map[string]int)
	for _, a := range attempts {
		taken, gone := acknowledged[a.key]
		late := gone && a.sent.Sub(taken) > revokeBound
		statuses[fmt.Sprintf("status %d, sent over %s after its key was taken away: %t", a.status, revokeBound, late)]++
		if e, did := ran[a.id]; did && late {
			breaches = append(breaches, fmt.Sprintf("CONFIG: request %s with %s, sent %.3f s after the acknowledgement that took the key away, ran at %s; answered with %d",
				a.id, a.key, a.sent.Sub(taken).Seconds(), e.worker, a.status))
		}
	}
	for text, n := range statuses {
		c.note("%d requests: %s", n, text)
	}
	return breaches
}

// proofConfig returns a configuration in which the first tenant has only the given key.
func proofConfig(version int, key string) map[string]any {
	routes := []map[string]any{{
		"name": "r-2yhvz3p", "hostname": "ficu95.example", "path_prefix": "/puxa403/", "route_kind": "idempotent", "timeout_ms": 1500, "slo_ms": 150,
		"priority": 1, "service": "portal", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
	}}
	for i := range proofRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07x", 0x1000000+i), "hostname": "ficu95.example", "path_prefix": fmt.Sprintf("/more%d/", i), "route_kind": "idempotent", "timeout_ms": 1500,
			"slo_ms": 150, "priority": 1, "service": "portal", "max_attempts": 2, "public": false, "sticky": false, "resumable": false,
		})
	}
	tenants := []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}}
	for i := range proofTenants - 1 {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{fmt.Sprintf("other-%d", i)}, "priority": 1})
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": "portal", "health_path": "/healthz", "max_conns": 288, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 60000},
	}
}
