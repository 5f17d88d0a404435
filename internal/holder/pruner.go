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
	pruneEvery = 10 * time.Second
	// pruneAfter is how long a registered node must be silent before its registration is removed. A node that
	// lives all the same registers again when it sees that.
	pruneAfter = 2 * time.Minute
)

// Pruner removes the registrations of nodes that are gone while the lease is held.
type Pruner struct {
	Active  func() bool
	Objects infra.ObjectStore
	Mirror  *mirror.Mirror
	Members *membership.Table
	Logger  log.Logger

	silent map[string]time.Time // key → since when the node is not heard
}

// Run prunes until ctx ends.
func (p *Pruner) Run(ctx context.Context) error {
	p.silent = make(map[string]time.Time)
	loop.Every(ctx, pruneEvery, func(now time.Time) {
		if p.Active() {
			p.prune(ctx, now)
		}
	})
	return nil
}

func (p *Pruner) prune(ctx context.Context, now time.Time) {
	for _, o := range p.Mirror.List(keys.Nodes) {
		if p.heard(o, now) {
			delete(p.silent, o.Key)
			continue
		}
		since, known := p.silent[o.Key]
		if !known {
			p.silent[o.Key] = now
			continue
		}
		if now.Sub(since) < pruneAfter {
			continue
		}
		outcome, _ := p.Objects.Delete(ctx, o.Key, o.Version)
		_ = level.Info(p.Logger).Log("msg", "registration of a silent node removed", "key", o.Key, "outcome", outcome)
	}
}

// heard reports whether the registered process itself has been heard lately.
func (p *Pruner) heard(o infra.Object, now time.Time) bool {
	var registered membership.Member
	if json.Unmarshal(o.Value, &registered) != nil {
		return false
	}
	m, ok := p.Members.Get(registered.VM)
	return ok && m.Incarnation == registered.Incarnation && now.Sub(m.Heard) < pruneAfter
}
