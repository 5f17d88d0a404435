package route

import (
	"cmp"
	"slices"
	"strings"
)

// Table is one accepted version of the routes, services and workspaces.
type Table struct {
	Revision int64 // version of the stored object; increases with every write
	Version  int64 // version number assigned by the operators
	Limits   Limits

	hosts       map[string][]*Route // longest prefix first
	services    map[string]*Service
	credentials map[string]*Workspace
	workspaces  int
}

// NewTable returns a table of the given routes and services, without workspaces.
func NewTable(revision, version int64, routes []*Route, services []*Service) *Table {
	t := &Table{
		Revision: revision, Version: version,
		hosts: make(map[string][]*Route), services: make(map[string]*Service), credentials: make(map[string]*Workspace),
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	return t
}

// Supersedes reports whether this table is to take the place of held: the operators have given it a higher version, or the same one
// in a later write. A store that came back from a copy may hold an earlier version than it did before.
func (t *Table) Supersedes(held *Table) bool {
	return cmp.Or(cmp.Compare(t.Version, held.Version), cmp.Compare(t.Revision, held.Revision)) > 0
}

// AddWorkspace adds a workspace with its credentials. It must not be called once the table is in use.
func (t *Table) AddWorkspace(w *Workspace, credentials []string) {
	t.workspaces++
	for _, c := range credentials {
		t.credentials[c] = w
	}
}

// Match returns the route on host with the longest prefix that matches path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Engines returns the services whose endpoints serve in replica groups, ordered by name.
func (t *Table) Engines() []*Service {
	var out []*Service
	for _, s := range t.services {
		if s.Engine != nil {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// NeedsCredential reports whether requests on r need a credential. None do if there are no workspaces.
func (t *Table) NeedsCredential(r *Route) bool { return t.workspaces > 0 && !r.Public }

// Workspace returns the workspace that holds the credential, or nil.
func (t *Table) Workspace(credential string) *Workspace { return t.credentials[credential] }

// Size returns the number of routes.
func (t *Table) Size() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
