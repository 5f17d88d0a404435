package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/loop"
	"moorrun.dev/moorrun/internal/peer"
)

const (
	// watchWait is the longest duration of one watch call. It is shorter than the time that a node may go without
	// contact, so that a node without peers stays in contact through its watch calls alone.
	watchWait = time.Second
	// listEvery is the interval between full listings, which bounds how long a change missed by a watch goes unnoticed.
	listEvery = 5 * time.Minute
)

// Watcher copies the platform's state objects into the mirror while this node is a relay.
type Watcher struct {
	objects infra.ObjectStore
	fleet   *peer.Fleet
	links   *Links
	logger  log.Logger
}

// NewWatcher returns a Watcher that copies state objects to the mirror of fleet. It watches for changes
// while links.IsRelay returns true.
func NewWatcher(objects infra.ObjectStore, fleet *peer.Fleet, links *Links, logger log.Logger) *Watcher {
	return &Watcher{objects, fleet, links, logger}
}

// Run lists the state once, to discover the other nodes, then watches it while this node is a relay, until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 200 * time.Millisecond
	wait.MaxInterval = 10 * time.Second
	version, listed := int64(0), time.Time{}
	for ctx.Err() == nil {
		if !listed.IsZero() && !w.links.IsRelay() {
			version = 0
			loop.Sleep(ctx, reviewEvery)
			continue
		}
		sent := clock.Now()
		next, err := w.listOrWatch(ctx, version, sent.Sub(listed) > listEvery)
		if err != nil {
			if ctx.Err() == nil {
				_ = level.Warn(w.logger).Log("msg", "cannot list or watch the platform's store", "err", err)
			}
			loop.Sleep(ctx, wait.NextBackOff())
			continue
		}
		if version == 0 || sent.Sub(listed) > listEvery {
			listed = sent
		}
		wait.Reset()
		w.fleet.Contact.RecordAlive(sent)
		version = next
	}
	return nil
}

func (w *Watcher) listOrWatch(ctx context.Context, version int64, list bool) (int64, error) {
	var l infra.Listing
	var err error
	if version == 0 || list {
		l, err = w.objects.List(ctx, keys.State)
	} else {
		l, err = w.objects.Watch(ctx, keys.State, version, watchWait)
	}
	if err != nil {
		return version, err
	}
	if version == 0 || list {
		w.dropMissing(l)
	}
	for _, o := range l.Objects {
		w.fleet.Mirror.Put(withoutOperations(o))
	}
	return l.Version, nil
}

// withoutOperations removes the list of operations from the head. Only nodes that apply a configuration need it, and
// the mirrored head goes to every node.
func withoutOperations(o infra.Object) infra.Object {
	if o.Key != keys.Head || o.Deleted {
		return o
	}
	h, err := accept.DecodeHead(o.Value)
	if err != nil {
		return o
	}
	h.Operations = nil
	if raw, err := json.Marshal(h); err == nil {
		o.Value = raw
	}
	return o
}

// dropMissing marks objects in the mirror as deleted if a full listing no longer contains them.
func (w *Watcher) dropMissing(l infra.Listing) {
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Key] = true
	}
	for _, o := range w.fleet.Mirror.List(keys.State) {
		if !listed[o.Key] && o.Version <= l.Version {
			w.fleet.Mirror.Put(infra.Object{Key: o.Key, Version: l.Version, Deleted: true})
		}
	}
}
