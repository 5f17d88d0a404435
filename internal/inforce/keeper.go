// Package inforce keeps the configuration in force at this node: the highest accepted revision it has
// heard of and could fetch whole.
package inforce

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/invariant"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/mirror"
)

// Source fetches parts of the configuration from relays or from the platform.
type Source interface {
	// Fetch returns the objects of those keys that it could get.
	Fetch(ctx context.Context, keys []string) []infra.Object
}

// Keeper holds the configuration in force.
type Keeper struct {
	mirror  *mirror.Mirror
	source  Source
	checker *invariant.Checker
	logger  log.Logger
	inForce func(*config.Config)

	current atomic.Pointer[config.Config]

	mu    sync.RWMutex
	parts map[string]infra.Object // by object key, those of the head in force
	done  map[string]config.Part  // parsed, by object key
}

// NewKeeper returns a Keeper without configuration; inForce is called after each change.
func NewKeeper(m *mirror.Mirror, source Source, checker *invariant.Checker, logger log.Logger, inForce func(*config.Config)) *Keeper {
	return &Keeper{
		mirror: m, source: source, checker: checker, logger: logger, inForce: inForce,
		parts: make(map[string]infra.Object), done: make(map[string]config.Part),
	}
}

// Current returns the configuration in force, nil before the first.
func (k *Keeper) Current() *config.Config { return k.current.Load() }

// Part implements peer.PartSource.
func (k *Keeper) Part(key string) (infra.Object, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	o, ok := k.parts[key]
	return o, ok
}

// Run puts each new head in force until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 10 * time.Millisecond
	wait.MaxInterval = time.Second
	for {
		changed := k.mirror.Changed()
		var again <-chan time.Time
		if k.update(ctx) {
			wait.Reset()
		} else {
			again = time.After(wait.NextBackOff())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-again:
		}
	}
}

// update puts the newest head in force and reports whether nothing is left to fetch.
func (k *Keeper) update(ctx context.Context) bool {
	o, ok := k.mirror.Get(keys.Head)
	if !ok {
		return true
	}
	head, err := accept.DecodeHead(o.Value)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "the head object cannot be read", "err", err)
		return true
	}
	if now := k.Current(); now != nil && head.Revision <= now.Revision {
		return true
	}
	set, ok := k.assemble(ctx, head)
	if !ok {
		return false
	}
	k.swap(config.New(head.Revision, set), head)
	return true
}

// assemble returns the head's parts, fetching those that are missing.
func (k *Keeper) assemble(ctx context.Context, head *accept.Head) (config.Set, bool) {
	k.fetch(ctx, head)
	set := make(config.Set, len(head.Parts))
	for name, ref := range head.Parts {
		part, ok := k.parsed(name, ref)
		if !ok {
			return nil, false
		}
		set[name] = part
	}
	return set, true
}

func (k *Keeper) fetch(ctx context.Context, head *accept.Head) {
	var missing []string
	k.mu.RLock()
	for _, ref := range head.Parts {
		if _, held := k.parts[ref.Key]; !held {
			missing = append(missing, ref.Key)
		}
	}
	k.mu.RUnlock()
	if len(missing) == 0 {
		return
	}
	objects := k.source.Fetch(ctx, missing)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range objects {
		k.parts[o.Key] = o
	}
}

func (k *Keeper) parsed(name string, ref *accept.PartRef) (config.Part, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.done[ref.Key]; ok {
		return p, true
	}
	o, ok := k.parts[ref.Key]
	if !ok {
		return config.Part{}, false
	}
	p, err := accept.DecodePart(name, ref, o.Value)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "a part was refused", "err", err)
		delete(k.parts, ref.Key)
		return config.Part{}, false
	}
	k.done[ref.Key] = p
	return p, true
}

func (k *Keeper) swap(next *config.Config, head *accept.Head) {
	old := k.Current()
	k.checker.Hold(invariant.RevisionGrows, old == nil || next.Revision > old.Revision, func() []any {
		return []any{"from", old.Revision, "to", next.Revision}
	})
	k.current.Store(next)
	k.prune(head)
	_ = level.Info(k.logger).Log("msg", "configuration in force", "revision", next.Revision)
	k.inForce(next)
}

// prune forgets the parts that the head in force does not point to.
func (k *Keeper) prune(head *accept.Head) {
	keep := make(map[string]bool, len(head.Parts))
	for _, ref := range head.Parts {
		keep[ref.Key] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.parts {
		if !keep[key] {
			delete(k.parts, key)
			delete(k.done, key)
		}
	}
}
