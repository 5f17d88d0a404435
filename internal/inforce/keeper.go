// Package inforce maintains the configuration in force at this node: the highest accepted revision that the node has
// learned of and could fetch completely.
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

// Source fetches configuration parts from relays or from the platform.
type Source interface {
	// Fetch returns the objects with the given keys, without those that could not be fetched.
	Fetch(ctx context.Context, keys []string) []infra.Object
}

// Tracker holds the configuration in force.
type Tracker struct {
	mirror   *mirror.Mirror
	source   Source
	checker  *invariant.Checker
	logger   log.Logger
	onChange func(*config.Config)

	current atomic.Pointer[config.Config]

	mu      sync.RWMutex
	parts   map[string]infra.Object // by object key; parts of the head in force and of a newer head being fetched
	decoded map[string]config.Part  // decoded parts, by object key
}

// NewTracker returns a Keeper without a configuration; onChange is called with each configuration put in force.
func NewTracker(m *mirror.Mirror, source Source, checker *invariant.Checker, logger log.Logger, onChange func(*config.Config)) *Tracker {
	return &Tracker{
		mirror: m, source: source, checker: checker, logger: logger, onChange: onChange,
		parts: make(map[string]infra.Object), decoded: make(map[string]config.Part),
	}
}

// Current returns the configuration in force, or nil if there is none yet.
func (k *Tracker) Current() *config.Config { return k.current.Load() }

// Part implements peer.PartSource.
func (k *Tracker) Part(key string) (infra.Object, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	o, ok := k.parts[key]
	return o, ok
}

// Run puts the configuration of each new head in force until ctx ends. It retries with backoff while parts are missing.
func (k *Tracker) Run(ctx context.Context) error {
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

// update puts the configuration of the latest head in force and reports whether nothing remains to be fetched.
func (k *Tracker) update(ctx context.Context) bool {
	o, ok := k.mirror.Get(keys.Head)
	if !ok {
		return true
	}
	head, err := accept.DecodeHead(o.Value)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "cannot decode the configuration head, keeping the current configuration", "err", err)
		return true
	}
	if now := k.Current(); now != nil && head.Revision <= now.Revision {
		return true
	}
	set, ok := k.assemble(ctx, head)
	if !ok {
		return false
	}
	k.activate(config.New(head.Revision, set), head)
	return true
}

// assemble returns the head's decoded parts, after fetching those that are missing. It reports false if a part is still
// missing or cannot be decoded.
func (k *Tracker) assemble(ctx context.Context, head *accept.Head) (config.Set, bool) {
	k.fetchMissing(ctx, head)
	set := make(config.Set, len(head.Parts))
	for name, ref := range head.Parts {
		part, ok := k.decodePart(name, ref)
		if !ok {
			return nil, false
		}
		set[name] = part
	}
	return set, true
}

func (k *Tracker) fetchMissing(ctx context.Context, head *accept.Head) {
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

func (k *Tracker) decodePart(name string, ref *accept.PartRef) (config.Part, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p, ok := k.decoded[ref.Key]; ok {
		return p, true
	}
	o, ok := k.parts[ref.Key]
	if !ok {
		return config.Part{}, false
	}
	p, err := accept.DecodePart(name, ref, o.Value)
	if err != nil {
		_ = level.Error(k.logger).Log("msg", "cannot decode a configuration part, fetching it again", "err", err)
		delete(k.parts, ref.Key)
		return config.Part{}, false
	}
	k.decoded[ref.Key] = p
	return p, true
}

func (k *Tracker) activate(next *config.Config, head *accept.Head) {
	old := k.Current()
	k.checker.Hold(invariant.RevisionGrows, old == nil || next.Revision > old.Revision, func() []any {
		return []any{"from", old.Revision, "to", next.Revision}
	})
	k.current.Store(next)
	k.prune(head)
	_ = level.Info(k.logger).Log("msg", "configuration in force", "revision", next.Revision)
	k.onChange(next)
}

// prune removes the parts that the head in force does not reference.
func (k *Tracker) prune(head *accept.Head) {
	keep := make(map[string]bool, len(head.Parts))
	for _, ref := range head.Parts {
		keep[ref.Key] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.parts {
		if !keep[key] {
			delete(k.parts, key)
			delete(k.decoded, key)
		}
	}
}
