package config

import (
	"fmt"
	"net/netip"
)

// Validate checks a whole configuration for what the schema of single files cannot express, such as references between
// parts and unique names.
func (s Set) Validate() Problems {
	v := validator{set: s, seen: make(map[string]string)}
	pool, ok := s[string(KindPool)]
	if !ok {
		v.add("pool", "/", "no file declares the pool; add one with \"kind\": \"pool\"")
	} else {
		v.pool(pool)
	}
	for _, name := range s.Names() {
		part := s[name]
		if part.DataCentre != nil {
			v.dataCentre(part)
		}
		if part.Workspace != nil {
			v.workspace(part)
		}
	}
	return v.problems
}

type validator struct {
	set      Set
	seen     map[string]string // where each name that must be unique was first declared, by kind and name
	problems Problems
}

func (v *validator) add(file, field, format string, args ...any) {
	v.problems = append(v.problems, Problem{file, field, fmt.Sprintf(format, args...)})
}

// unique adds a problem if the name has already been declared for this kind.
func (v *validator) unique(file, field, kind, name string) {
	key := kind + " " + name
	if first, taken := v.seen[key]; taken {
		v.add(file, field, "%s %q is declared already at %s; names must differ", kind, name, first)
		return
	}
	v.seen[key] = file + field
}

func (v *validator) address(file, field, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.add(file, field, "%q is no IP address with a port; write it like 10.0.0.1:8000", address)
	}
}

func (v *validator) credentials(file, field, kind string, list []Credential) {
	for i, c := range list {
		v.unique(file, fmt.Sprintf("%s/%d/token_sha256", field, i), kind+" token hash", c.TokenSHA256)
	}
}

func (v *validator) pool(p Part) {
	v.credentials(p.File, "/operators", "operator", p.Pool.Operators)
	for i, share := range p.Pool.Shares {
		field := fmt.Sprintf("/shares/%d/workspace", i)
		v.unique(p.File, field, "share of workspace", share.Workspace)
		if _, ok := v.set[WorkspacePart(share.Workspace)]; !ok {
			v.add(p.File, field, "workspace %q is not declared; add its file or drop the share", share.Workspace)
		}
	}
}

func (v *validator) dataCentre(p Part) {
	for i, d := range p.DataCentre.Domains {
		field := fmt.Sprintf("/domains/%d", i)
		v.unique(p.File, field+"/name", "domain", d.Name)
		for j, vm := range d.VMs {
			at := fmt.Sprintf("%s/vms/%d", field, j)
			v.unique(p.File, at+"/name", "VM", vm.Name)
			v.unique(p.File, at+"/address", "VM address", vm.Address)
			v.address(p.File, at+"/address", vm.Address)
		}
	}
}

func (v *validator) workspace(p Part) {
	w := p.Workspace
	if !v.hasShare(w.Name) {
		v.add(p.File, "/name", "workspace %q has no share; an operator of the pool must give it one first", w.Name)
	}
	v.credentials(p.File, "/operators", "operator", w.Operators)
	v.credentials(p.File, "/callers", "caller", w.Callers)
	declared := make(map[string]bool)
	for i, m := range w.Models {
		field := fmt.Sprintf("/models/%d", i)
		v.unique(p.File, field+"/name", "model", m.Name)
		declared[m.Name] = true
		v.model(p.File, field, m)
	}
	for i, s := range w.Services {
		field := fmt.Sprintf("/services/%d", i)
		v.unique(p.File, field+"/name", "service of "+w.Name, s.Name)
		declared[s.Name] = true
		for j, e := range s.Endpoints {
			v.address(p.File, fmt.Sprintf("%s/endpoints/%d/address", field, j), e.Address)
			v.unique(p.File, fmt.Sprintf("%s/endpoints/%d/name", field, j), "endpoint", e.Name)
		}
	}
	for i, o := range w.Objectives {
		if !declared[o.Service] {
			v.add(p.File, fmt.Sprintf("/objectives/%d/service", i), "%q is neither a model nor a service of this workspace", o.Service)
		}
	}
}

func (v *validator) model(file, field string, m Model) {
	if m.Replicas.Min > m.Replicas.Max {
		v.add(file, field+"/replicas/min", "min %d is above max %d; lower it", m.Replicas.Min, m.Replicas.Max)
	}
}

func (v *validator) hasShare(workspace string) bool {
	pool, ok := v.set[string(KindPool)]
	if !ok {
		return true
	}
	for _, s := range pool.Pool.Shares {
		if s.Workspace == workspace {
			return true
		}
	}
	return false
}
