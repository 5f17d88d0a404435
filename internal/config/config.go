// Package config defines the operators' configuration: the types of its files, their validation, and the
// indexes that other packages look up.
package config

// Config is one accepted configuration with its indexes. It is immutable.
type Config struct {
	Revision int64
	Set      Set
	Prices   Prices

	callers       map[string]string // token hash → workspace
	poolOperators []string          // token hashes
	operators     map[string]string // token hash → workspace
	models        map[string]ModelOf
	shares        map[string]int // by workspace
	domains       map[string]DomainOf
	regions       map[string]string // by data centre
	services      map[serviceKey]*Service
	endpoints     map[string]Endpoint
}

type serviceKey struct{ workspace, service string }

// New returns the Config of a set, which must be valid.
func New(revision int64, set Set) *Config {
	c := &Config{
		Revision: revision, Set: set, Prices: DefaultPrices,
		callers: make(map[string]string), operators: make(map[string]string),
		models: make(map[string]ModelOf), shares: make(map[string]int),
		domains: make(map[string]DomainOf), regions: make(map[string]string),
		services: make(map[serviceKey]*Service), endpoints: make(map[string]Endpoint),
	}
	for _, part := range set {
		switch {
		case part.Pool != nil:
			c.indexPool(part.Pool)
		case part.DataCentre != nil:
			c.indexDataCentre(part.DataCentre)
		default:
			c.indexWorkspace(part.Workspace)
		}
	}
	return c
}

func (c *Config) indexPool(p *Pool) {
	for _, o := range p.Operators {
		c.poolOperators = append(c.poolOperators, o.TokenSHA256)
	}
	for _, s := range p.Shares {
		c.shares[s.Workspace] = s.Share
	}
	if p.Prices != (Prices{}) {
		c.Prices = p.Prices
	}
}

func (c *Config) indexDataCentre(d *DataCentre) {
	c.regions[d.Name] = d.Region
	for _, domain := range d.Domains {
		c.domains[domain.Name] = DomainOf{domain, d.Name}
	}
}

func (c *Config) indexWorkspace(w *Workspace) {
	for _, caller := range w.Callers {
		c.callers[caller.TokenSHA256] = w.Name
	}
	for _, o := range w.Operators {
		c.operators[o.TokenSHA256] = w.Name
	}
	for _, m := range w.Models {
		c.models[m.Name] = ModelOf{m, w.Name}
	}
	for i := range w.Services {
		c.services[serviceKey{w.Name, w.Services[i].Name}] = &w.Services[i]
		for _, e := range w.Services[i].Endpoints {
			c.endpoints[e.Name] = e
		}
	}
}

// CallerWorkspace returns the workspace of the caller with the given token.
func (c *Config) CallerWorkspace(token string) (string, bool) {
	// The key is a hash of the token, so the duration of the lookup reveals nothing about the token.
	w, ok := c.callers[HashToken(token)]
	return w, ok
}

// OperatorScope returns the scope of the operator with the given token.
func (c *Config) OperatorScope(token string) (Scope, bool) {
	hash := HashToken(token)
	for _, o := range c.poolOperators {
		if SameHash(o, hash) {
			return Scope{Pool: true}, true
		}
	}
	w, ok := c.operators[hash]
	return Scope{Workspace: w}, ok
}

// Model returns the model with the given name if workspace owns it or it is shared.
func (c *Config) Model(workspace, name string) (ModelOf, bool) {
	m, ok := c.models[name]
	if !ok || m.Workspace != workspace && !m.Shared {
		return ModelOf{}, false
	}
	return m, true
}

// Models returns all models by name.
func (c *Config) Models() map[string]ModelOf { return c.models }

// Service returns a workspace's plain service.
func (c *Config) Service(workspace, name string) (*Service, bool) {
	s, ok := c.services[serviceKey{workspace, name}]
	return s, ok
}

// Endpoint returns the endpoint with the given name, of whichever plain service.
func (c *Config) Endpoint(name string) (Endpoint, bool) {
	e, ok := c.endpoints[name]
	return e, ok
}

// Objective returns the objective of a model or service of a workspace.
func (c *Config) Objective(workspace, service string) (Objective, bool) {
	part, ok := c.Set[WorkspacePart(workspace)]
	if !ok {
		return Objective{}, false
	}
	for _, o := range part.Workspace.Objectives {
		if o.Service == service {
			return o, true
		}
	}
	return Objective{}, false
}

// Share returns the workspace's share, or 1 if it has none.
func (c *Config) Share(workspace string) int { return max(1, c.shares[workspace]) }

// Domains returns all fabric domains by name.
func (c *Config) Domains() map[string]DomainOf { return c.domains }

// Region returns the region of a data centre. A data centre that is not declared is a region of its own.
func (c *Config) Region(dataCentre string) string {
	if r, ok := c.regions[dataCentre]; ok {
		return r
	}
	return dataCentre
}
