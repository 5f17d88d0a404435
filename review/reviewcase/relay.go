package main

import (
	"errors"
	"fmt"
	"time"
)

// relayPlan is the deployment of the relay case.
var relayPlan = plan{gateways: 6, engineWorkers: 4, groups: 2, config: relayConfig, settings: map[string]any{"stall_ms": 6000, "repeat_slack": 109}}

// relayConfig is the operator's configuration.
func relayConfig() map[string]any {
	return map[string]any{
		"version": 3, "routes": []map[string]any{streamRoute}, "limits": limits,
		"services": []map[string]any{engineService},
		"tenants":  []map[string]any{{"name": "tenant-1", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// maxTries bounds the streams that are sent until one goes through another gateway.
const maxTries = 10

var errNoDetour = errors.New("no stream went through another gateway")

// playRelay shows what a caller gets of a stream that reaches its gateway through another gateway, if that one is killed midway. The
// workers answer with neither a length nor chunks, so that an answer ends with its connection.
func playRelay(daemon string, r *record, trouble string) (breach string, err error) {
	losePath := trouble != troubleNone && trouble != troubleKill
	kill := trouble != troubleNone && trouble != troublePath
	d, err := newDeployment(daemon, r, relayPlan)
	if err != nil {
		return "", err
	}
	defer d.close()
	if err := d.awaitService(); err != nil {
		return "", err
	}
	front := d.gateways[0]
	for try := 1; try <= maxTries; try++ {
		attempt := fmt.Sprintf("attempt-%d", try)
		if losePath {
			if err := d.fillQueues(); err != nil {
				return "", err
			}
		}
		relayed := false
		a := front.stream(attempt, func() {
			sender := d.senderOf(attempt)
			if sender == nil {
				r.add("it is not known which gateway sent %s", attempt)
				return
			}
			relayed = sender != front
			r.add("%s has begun; the worker's connection is that of %s", attempt, sender.name)
			switch {
			case kill && relayed:
				d.kill(sender)
			case kill && !losePath:
				d.kill(d.gateways[1])
			}
		})
		r.add("answer to %s of %s: status %d, seal %q, events %v, end %s", a.attempt, front.name, a.status, a.seal, a.events, a.end())
		if a.isPartAsComplete() {
			return "a part of a stream was passed on as a complete answer", nil
		}
		if relayed || !losePath {
			return "", nil
		}
		time.Sleep(time.Second) // for the connections that were not answered
	}
	return "", errNoDetour
}
