package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// maxFiles is the limit on a gateway's descriptors. The sheet gives each machine 4,100, of which 200 are held back for files; a gateway
	// has five that are no sockets.
	maxFiles = 4100 - 200 + 5
	// usualRate is the traffic of the deployment in requests a second, and burstFactor twice the largest dose of a burst.
	usualRate   = 152
	burstFactor = 3.4
	burstTime   = 24 * time.Second // less than twice the longest burst, of 14 s
	// quietTime is how long the deployment is calm before the configuration changes. Connections between gateways that are not used
	// for half a minute are closed.
	quietTime = 33 * time.Second
	// configApply is the bound on the time until a configuration is in force, and checkTime how long it is checked after that.
	configApply = 2 * time.Second
	checkTime   = 8 * time.Second
	checkPause  = 500 * time.Millisecond
)

// Services of the route that the second configuration moves, and the key that it takes away.
const (
	oldService = "frontend-a"
	newService = "frontend-b"
	droppedKey = "key-dropped"
)

// descriptorsPlan is the deployment of the descriptors case, in which keys count without a proof that the configuration is current.
var descriptorsPlan = plan{
	gateways: 7, plainServices: []string{oldService, newService}, maxFiles: maxFiles,
	config:   func() map[string]any { return plainConfig(1, oldService, apiKey, droppedKey) },
	settings: map[string]any{"stall_ms": 4000, "repeat_slack": 132, "credential_proof_required": false},
}

// plainConfig is a configuration whose only route leads to the given service.
func plainConfig(version int, service string, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "limits": limits,
		"routes": []map[string]any{{
			"name": "suggest", "hostname": callerHost, "path_prefix": "/suggest/", "route_kind": "idempotent", "service": service,
			"timeout_ms": 1000, "slo_ms": 100, "max_attempts": 2, "priority": 2,
		}},
		"services": []map[string]any{{"name": oldService, "max_conns": 1000}, {"name": newService, "max_conns": 1000}},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": keys, "priority": 1}},
	}
}

// playDescriptors shows whether a configuration comes into force at all gateways after a burst of users, beside the loss of machines,
// has used up the descriptors of the leader.
func playDescriptors(daemon string, r *record, trouble string) (breach string, err error) {
	if err := checkOwnLimit(); err != nil {
		return "", err
	}
	d, err := newDeployment(daemon, r, descriptorsPlan)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.awaitUp(); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	leader := d.leader()
	if leader == nil {
		return "", fmt.Errorf("no gateway says that it leads")
	}
	r.add("%s leads", leader.name)
	if err := d.disrupt(leader, trouble); err != nil {
		return "", err
	}
	r.add("calm for %v", quietTime)
	time.Sleep(quietTime)
	d.logState()
	d.store.Write("config", "main", plainConfig(2, newService, apiKey))
	acknowledged := time.Now()
	r.add("configuration 2 acknowledged: the route leads to %s, and %s is taken away", newService, droppedKey)
	time.Sleep(configApply + checkPause)
	return d.checkConfiguration(acknowledged), nil
}

// checkOwnLimit returns an error if this process may not have as many connections as there are users.
func checkOwnLimit() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if wanted := uint64(usualRate*burstFactor*burstTime.Seconds()) + 500; limit.Cur < wanted {
		return fmt.Errorf("%d descriptors are needed for the users, and %d are allowed", wanted, limit.Cur)
	}
	return nil
}

// loss is a number of machines that are killed at the same moment.
type loss struct {
	at    time.Duration // after the start of the burst
	count int
	down  time.Duration // until the processes are started again
}

// losses are those beside the burst: the leader's machine is the only one that is not among the first, and one machine is killed when
// the leader has no descriptors left.
var losses = []loss{{0, 6, 4 * time.Second}, {8 * time.Second, 4, 4 * time.Second}, {20 * time.Second, 1, time.Second}}

// disrupt lets many users come at once while machines other than the leader's are lost. With troubleKill there are no users, with
// troubleBurst no machines are lost, and with troubleNone there is neither.
func (d *deployment) disrupt(leader *gateway, trouble string) error {
	if trouble == troubleNone {
		return nil
	}
	began := time.Now()
	if trouble != troubleKill {
		users := startBurst(d, usualRate*burstFactor)
		defer users.stop()
		d.record.add("burst of %.0f users a second", usualRate*burstFactor)
	}
	if trouble != troubleBurst {
		var others []*gateway
		for _, g := range d.gateways {
			if g != leader {
				others = append(others, g)
			}
		}
		for _, l := range losses {
			time.Sleep(time.Until(began.Add(l.at)))
			d.logState()
			if err := d.lose(others[:l.count], l.down); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Until(began.Add(burstTime)))
	d.logState()
	return nil
}

// lose kills gateways and starts them again.
func (d *deployment) lose(list []*gateway, down time.Duration) error {
	for _, g := range list {
		d.kill(g)
	}
	time.Sleep(down)
	return d.restart(list)
}

// restart starts killed gateways again.
func (d *deployment) restart(list []*gateway) error {
	for _, g := range list {
		<-g.ended
		if err := g.start(false); err != nil {
			return err
		}
		d.record.add("%s started again, process %d", g.name, g.command.Process.Pid)
	}
	return nil
}

// checkConfiguration sends requests to all gateways and returns which of them the old configuration alone allows.
func (d *deployment) checkConfiguration(acknowledged time.Time) string {
	old := make(map[string]int)
	for n := 1; time.Since(acknowledged) < configApply+checkTime; n++ {
		for _, g := range d.gateways {
			for _, key := range []string{apiKey, droppedKey} {
				attempt := fmt.Sprintf("check-%d-%s-%s", n, g.name, key)
				sent := time.Since(acknowledged)
				status := g.call(attempt, key)
				if ranBy := d.serviceThatRan(attempt); ranBy == oldService || ranBy != "" && key == droppedKey {
					old[g.name]++
					d.record.add("%s, sent %.1f s after the acknowledgement with %s: status %d, run by %s", g.name, sent.Seconds(), key, status, ranBy)
				}
			}
		}
		time.Sleep(checkPause)
	}
	d.logState()
	for _, g := range d.gateways {
		d.record.add("%s: %d requests handled as only the old configuration allows", g.name, old[g.name])
	}
	if len(old) == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d gateways go by the old configuration %v after the acknowledgement of the new one", len(old), len(d.gateways), configApply+checkTime)
}

// serviceThatRan returns the service that has run a request, or "".
func (d *deployment) serviceThatRan(attempt string) string {
	for _, w := range d.workers {
		if w.ran(attempt) {
			return w.service
		}
	}
	return ""
}

// logState records how many descriptors each gateway has, how many connections of other gateways it has not accepted, and whether it
// is ready.
func (d *deployment) logState() {
	for _, g := range d.gateways {
		d.record.add("%s: %d descriptors, %d connections of other gateways not accepted, ready %v", g.name, g.openFiles(), g.unaccepted(), g.isReady())
	}
}

// call sends a request on the route and returns the status of the answer, or 0.
func (g *gateway) call(attempt, key string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+g.caller+"/suggest/2f", nil)
	if err != nil {
		return 0
	}
	request.Host = callerHost
	request.Header.Set("X-Moorrun-Attempt-Id", attempt)
	request.Header.Set("X-Moorrun-Deadline-Ms", "1000")
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
