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

// applyChanges applies the objects that the follower has copied from the store, until ctx ends.
func (n *Server) applyChanges(ctx context.Context) error {
	var sequence uint64
	for ctx.Err() == nil {
		changed := n.follower.Mirror.Changed()
		// These are read before Since, which then covers at least the copy that they describe.
		full, configurationAt, endpointsAt := n.follower.Full(), n.follower.Current(keys.Accepted), n.follower.Current(keys.Endpoints)
		var objects []infra.Object
		objects, sequence = n.follower.Mirror.Since(sequence)
		if len(objects) > 0 {
			n.apply(objects, clock.Now())
		}
		n.directory.SetRoutingOnly(!full)
		n.appliedSequence.Store(sequence)
		n.configurationProof.changesApplied(configurationAt)
		n.endpointsProof.changesApplied(endpointsAt)
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
			var e *endpoint.Endpoint
			if e, routing = n.readEntry(id, o); e != nil {
				changed = append(changed, e)
			}
		case strings.HasPrefix(o.Key, keys.Evacuations):
			evacuations = true
		case strings.HasPrefix(o.Key, keys.Accepted) && !o.Deleted:
			n.applyConfiguration(o)
		}
		n.follower.Mirror.Mark(o, routing)
	}
	if evacuations {
		n.applyEvacuations()
	}
	if len(changed)+len(removed) > 0 {
		n.directory.Apply(changed, removed, now)
		n.controller.Wake()
		n.picker.GrantWaiting()
	}
	// Notifies the nodes that pull from this one of the changes at once. If this node does not watch the store itself, the
	// others get the changes from the same source as it does.
	if _, watching := n.follower.CurrentAll(); watching {
		n.gossip.Kick()
	}
}

// readEntry returns the endpoint that an entry describes, and whether nodes that only route requests need the entry. It returns nil for
// an entry that describes none: the endpoint of that ID, if one is known, stays as it was. Where an entry does not count, the nodes that
// need the endpoint of its ID need the entry too, or that endpoint would count as no longer needed.
func (n *Server) readEntry(id string, o infra.Object) (e *endpoint.Endpoint, routing bool) {
	e, err := n.platform.Endpoint(id, follow.Version(o), o.Value)
	known := n.directory.Read()
	if err == nil && !known.StartedLater(e.ID) {
		return e, n.neededForRouting(e)
	}
	held := known.Listed(id)
	_ = level.Warn(n.logger).Log("msg", "endpoint entry does not count", "endpoint", id, "known", held != nil, "err", err)
	return e, held != nil && n.neededForRouting(held)
}

// neededForRouting reports whether nodes that only route requests need the endpoint. They need all but the engines that are
// not the head of an open group. Unless the configuration in force defines engines for a service, its endpoints are
// assumed to serve alone.
func (n *Server) neededForRouting(e *endpoint.Endpoint) bool {
	if t := n.table.Load(); t != nil {
		if s := t.Service(e.Service); s != nil && s.Engine != nil {
			return e.IsOpenHead()
		}
	}
	return true
}

// applyEvacuations takes the data centres that operators have evacuated out of use, and puts all others back into use.
func (n *Server) applyEvacuations() {
	dataCentres := make(map[string]bool)
	for _, o := range n.follower.Mirror.List(keys.Evacuations) {
		dataCentres[strings.TrimPrefix(o.Key, keys.Evacuations)] = true
	}
	n.directory.Evacuate(dataCentres, clock.Now())
	n.picker.GrantWaiting()
	_ = level.Info(n.logger).Log("msg", "data centres out of use", "data_centres", slices.Sorted(maps.Keys(dataCentres)))
}

// applyConfiguration puts an accepted configuration in force unless this or a later one already is.
func (n *Server) applyConfiguration(o infra.Object) {
	t, err := n.platform.Table(follow.Version(o), o.Value)
	if err != nil {
		n.configurationProof.setIncomplete(true)
		_ = level.Error(n.logger).Log("msg", "configuration cannot be read", "key", o.Key, "revision", infra.RevisionOf(follow.Version(o)), "err", err)
		return
	}
	n.configurationProof.setIncomplete(false)
	if held := n.table.Load(); held != nil && !t.Supersedes(held) {
		return
	}
	n.table.Store(t)
	_ = level.Info(n.logger).Log("msg", "configuration in force", "version", t.Version, "revision", infra.RevisionOf(t.Revision), "routes", t.Size())
}

// supersedes reports whether a listed configuration is newer than the one held, by the versions that the operators have given them.
// It returns false for other objects.
func (n *Server) supersedes(listed, held infra.Object) bool {
	if !strings.HasPrefix(listed.Key, keys.Accepted) {
		return false
	}
	newer, err := n.platform.Table(listed.Version, listed.Value)
	if err != nil {
		return false
	}
	older, err := n.platform.Table(held.Version, held.Value)
	return err != nil || newer.Version > older.Version
}

// endpointsListedAt returns a time as of which the directory holds all endpoints as listed by the store itself, or zero.
// Groups are formed only from such a list: a copy pulled from another node may hold only the endpoints that take requests.
func (n *Server) endpointsListedAt() time.Time {
	if at, sequence := n.follower.Listed(); n.appliedSequence.Load() >= sequence {
		n.listedAt.Store(&at)
	}
	if at := n.listedAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
