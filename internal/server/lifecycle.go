package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

const (
	registerRetry    = 150 * time.Millisecond
	registerRetryMax = time.Second
	// acceptPart is the part of the grace during which callers who hold an earlier answer are still served.
	acceptPart = 0.45
	// finishPart is the part of the grace by which what has begun should have finished.
	finishPart = 0.94
)

// registration is what a node writes to the store so that others find it.
type registration struct {
	PeerAddress string `json:"peer_address"`
}

// register makes this node known and learns of the others, once.
func (n *Server) register(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = registerRetry
	retry.MaxInterval = registerRetryMax
	for ctx.Err() == nil && !n.registerOnce(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

// registerOnce writes this node's address first and reads the others' after it: of two nodes that start at once
// the later writer reads the earlier one's.
func (n *Server) registerOnce(ctx context.Context) bool {
	if !n.writeRegistration(ctx) {
		return false
	}
	l, err := n.platform.Objects.List(ctx, keys.Gateways)
	if err != nil {
		return false
	}
	for _, o := range l.Objects {
		var r registration
		if json.Unmarshal(o.Value, &r) == nil {
			n.gossip.Add(r.PeerAddress)
		}
	}
	return true
}

// writeRegistration makes sure that the store holds this node's address.
func (n *Server) writeRegistration(ctx context.Context) bool {
	key := keys.Gateways + n.settings.VM
	own := registration{n.settings.PeerAddress}
	if outcome, _, _ := n.platform.Objects.Put(ctx, key, own, 0); outcome == infra.Applied {
		return true
	}
	held, err := n.platform.Objects.Get(ctx, key)
	if err != nil {
		return false
	}
	var r registration
	if json.Unmarshal(held.Value, &r) == nil && r == own {
		return true
	}
	outcome, _, _ := n.platform.Objects.Put(ctx, key, own, held.Version)
	return outcome == infra.Applied
}

// leave stops taking callers, first new ones, and waits until what has begun has finished.
func (n *Server) leave(callers *http.Server) {
	since := time.Now()
	n.leaving.Store(true)
	n.gossip.Kick()
	_ = level.Info(n.logger).Log("msg", "stopping", "grace_ms", n.settings.GraceMS)
	grace := n.settings.Grace()
	time.Sleep(time.Duration(acceptPart * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), since.Add(time.Duration(finishPart*float64(grace))))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		_ = level.Warn(n.logger).Log("msg", "requests cut off by the end of the grace", "err", err)
	}
}
