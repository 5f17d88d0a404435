package server

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/follow"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// takeChanges puts what the follower brings into force until ctx ends.
func (n *Server) takeChanges(ctx context.Context) error {
	var sequence uint64
	for ctx.Err() == nil {
		changed := n.follower.Mirror.Changed()
		full := n.follower.Full() // what is listed after that makes up for it
		var objects []infra.Object
		objects, sequence = n.follower.Mirror.Since(sequence)
		if len(objects) > 0 {
			n.apply(objects, clock.Now())
		}
		n.directory.SetRoutingOnly(!full)
		n.applied.Store(sequence)
		if len(objects) > 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (n *Server) apply(objects []infra.Object, now time.Time) {
	var changed []*endpoint.Endpoint
	var removed []string
	evacuations := false
	for _, o := range objects {
		id, isEndpoint := strings.CutPrefix(o.Key, keys.Endpoints)
		routing := !isEndpoint
		switch {
		case isEndpoint && o.Deleted:
			removed = append(removed, id)
		case isEndpoint:
			e, err := n.platform.Endpoint(id, follow.Revision(o), o.Value)
			if err != nil {
				_ = level.Warn(n.logger).Log("msg", "endpoint entry cannot be read and is left out", "endpoint", id, "err", err)
				removed = append(removed, id)
				break
			}
			changed = append(changed, e)
			routing = n.routable(e)
		case strings.HasPrefix(o.Key, keys.Evacuations):
			evacuations = true
		case strings.HasPrefix(o.Key, keys.Accepted) && !o.Deleted:
			n.accept(o)
		}
		n.follower.Mirror.Mark(o, routing)
	}
	if evacuations {
		n.evacuate()
	}
	if len(changed)+len(removed) > 0 {
		n.directory.Apply(changed, removed, now)
		n.controller.Wake()
		n.picker.Review()
	}
	// Those who pull from this node are to know at once that there is something new. Others would only be told what
	// they have from the same source.
	if _, watching := n.follower.Whole(); watching {
		n.gossip.Kick()
	}
}

// routable reports whether nodes that only route need the endpoint: all but those of engines that head no open group. Where
// the configuration does not say yet that a service has engines, its endpoints may serve alone.
func (n *Server) routable(e *endpoint.Endpoint) bool {
	if t := n.table.Load(); t != nil {
		if s := t.Service(e.Service); s != nil && s.Engine != nil {
			return e.Heads()
		}
	}
	return true
}

// evacuate takes the data centres out of use that operators have named, and takes the others back.
func (n *Server) evacuate() {
	dataCentres := make(map[string]bool)
	for _, o := range n.follower.Mirror.List(keys.Evacuations) {
		dataCentres[strings.TrimPrefix(o.Key, keys.Evacuations)] = true
	}
	n.directory.Evacuate(dataCentres, clock.Now())
	n.picker.Review()
	_ = level.Info(n.logger).Log("msg", "data centres out of use", "data_centres", slices.Sorted(maps.Keys(dataCentres)))
}

// accept puts a configuration in force unless a later one is.
func (n *Server) accept(o infra.Object) {
	t, err := n.platform.Table(follow.Revision(o), o.Value)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "configuration cannot be read", "key", o.Key, "revision", follow.Revision(o), "err", err)
		return
	}
	if held := n.table.Load(); held != nil && held.Revision >= t.Revision {
		return
	}
	n.table.Store(t)
	_ = level.Info(n.logger).Log("msg", "configuration in force", "version", t.Version, "revision", t.Revision, "routes", t.Size())
}

// listedAsOf returns an instant as of which the store itself has told this node all endpoints, once they are in the directory.
// Groups are formed by nothing else: a copy from others may hold only those that take requests.
func (n *Server) listedAsOf() time.Time {
	if at, sequence := n.follower.Listed(); n.applied.Load() >= sequence {
		n.listed.Store(&at)
	}
	if at := n.listed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
