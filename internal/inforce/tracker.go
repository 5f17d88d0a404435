// Package inforce maintains the configuration in force at this node: the highest accepted revision whose head has
// reached the node and whose parts it could fetch completely.
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

// NewTracker returns a Tracker without a configuration; onChange is called with each configuration put in force.
func NewTracker(m *mirror.Mirror, source Source, checker *invariant.Checker, logger log.Logger, onChange func(*config.Config)) *Tracker {
	return &Tracker{
		mirror: m, source: source, checker: checker, logger: logger, onChange: onChange,
		parts: make(map[string]infra.Object), decoded: make(map[string]config.Part),
	}
}

// Current returns the configuration in force, or nil if there is none yet.
func (t *Tracker) Current() *config.Config { return t.current.Load() }

// Part implements peer.PartSource.
func (t *Tracker) Part(key string) (infra.Object, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	o, ok := t.parts[key]
	return o, ok
}

// Run puts the configuration of each new head in force until ctx ends. It retries with backoff while parts are missing.
func (t *Tracker) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 10 * time.Millisecond
	wait.MaxInterval = time.Second
	for {
		changed := t.mirror.Changed()
		var again <-chan time.Time
		if t.update(ctx) {
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
func (t *Tracker) update(ctx context.Context) bool {
	o, ok := t.mirror.Get(keys.Head)
	if !ok {
		return true
	}
	head, err := accept.DecodeHead(o.Value)
	if err != nil {
		_ = level.Error(t.logger).Log("msg", "cannot decode the configuration head, keeping the current configuration", "err", err)
		return true
	}
	if current := t.Current(); current != nil && head.Revision <= current.Revision {
		return true
	}
	set, ok := t.assemble(ctx, head)
	if !ok {
		return false
	}
	t.activate(config.New(head.Revision, set), head)
	return true
}

// assemble returns the head's decoded parts, after fetching those that are missing. It reports false if a part is still
// missing or cannot be decoded.
func (t *Tracker) assemble(ctx context.Context, head *accept.Head) (config.Set, bool) {
	t.fetchMissing(ctx, head)
	set := make(config.Set, len(head.Parts))
	for name, ref := range head.Parts {
		part, ok := t.decodePart(name, ref)
		if !ok {
			return nil, false
		}
		set[name] = part
	}
	return set, true
}

func (t *Tracker) fetchMissing(ctx context.Context, head *accept.Head) {
	var missing []string
	t.mu.RLock()
	for _, ref := range head.Parts {
		if _, held := t.parts[ref.Key]; !held {
			missing = append(missing, ref.Key)
		}
	}
	t.mu.RUnlock()
	if len(missing) == 0 {
		return
	}
	objects := t.source.Fetch(ctx, missing)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range objects {
		t.parts[o.Key] = o
	}
}

func (t *Tracker) decodePart(name string, ref *accept.PartRef) (config.Part, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.decoded[ref.Key]; ok {
		return p, true
	}
	o, ok := t.parts[ref.Key]
	if !ok {
		return config.Part{}, false
	}
	p, err := accept.DecodePart(name, ref, o.Value)
	if err != nil {
		_ = level.Error(t.logger).Log("msg", "cannot decode a configuration part, fetching it again", "err", err)
		delete(t.parts, ref.Key)
		return config.Part{}, false
	}
	t.decoded[ref.Key] = p
	return p, true
}

func (t *Tracker) activate(next *config.Config, head *accept.Head) {
	old := t.Current()
	t.checker.Check(invariant.RevisionMonotonic, old == nil || next.Revision > old.Revision, func() []any {
		return []any{"from", old.Revision, "to", next.Revision}
	})
	t.current.Store(next)
	t.prune(head)
	_ = level.Info(t.logger).Log("msg", "configuration in force", "revision", next.Revision)
	t.onChange(next)
}

// prune removes the parts that the head in force does not reference.
func (t *Tracker) prune(head *accept.Head) {
	keep := make(map[string]bool, len(head.Parts))
	for _, ref := range head.Parts {
		keep[ref.Key] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.parts {
		if !keep[key] {
			delete(t.parts, key)
			delete(t.decoded, key)
		}
	}
}
