package holder

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/membership"
	"moorrun.dev/moorrun/internal/mirror"
)

const (
	pruneInterval = 10 * time.Second
	// pruneAfter is how long a registered node must be silent before its registration is removed. A node that
	// is still running registers again when it detects the removal.
	pruneAfter = 2 * time.Minute
)

// Pruner removes the registrations of nodes that have been silent for pruneAfter. It runs while Active returns
// true, that is, while this node holds a lease.
type Pruner struct {
	Active  func() bool
	Objects infra.ObjectStore
	Mirror  *mirror.Mirror
	Members *membership.Table
	Logger  log.Logger

	silentSince map[string]time.Time // by object key: when the node was first found silent
}

// Run removes registrations until ctx is done.
func (p *Pruner) Run(ctx context.Context) error {
	p.silentSince = make(map[string]time.Time)
	loop.Every(ctx, pruneInterval, func(now time.Time) {
		if p.Active() {
			p.prune(ctx, now)
		}
	})
	return nil
}

func (p *Pruner) prune(ctx context.Context, now time.Time) {
	for _, o := range p.Mirror.List(keys.Nodes) {
		if p.recentlyAlive(o, now) {
			delete(p.silentSince, o.Key)
			continue
		}
		since, known := p.silentSince[o.Key]
		if !known {
			p.silentSince[o.Key] = now
			continue
		}
		if now.Sub(since) < pruneAfter {
			continue
		}
		outcome, _ := p.Objects.Delete(ctx, o.Key, o.Version)
		_ = level.Info(p.Logger).Log("msg", "registration of a silent node removed", "key", o.Key, "outcome", outcome)
	}
}

// recentlyAlive reports whether the registered process, and not a later one on the same VM, is known to have been
// alive within pruneAfter.
func (p *Pruner) recentlyAlive(o infra.Object, now time.Time) bool {
	var registered membership.Member
	if json.Unmarshal(o.Value, &registered) != nil {
		return false
	}
	m, ok := p.Members.Get(registered.VM)
	return ok && m.Incarnation == registered.Incarnation && now.Sub(m.Heard) < pruneAfter
}
