package config

import "strings"

// Service is a plain HTTP service, which is not run by model engines.
type Service struct {
	Name      string     `json:"name"`
	Endpoints []Endpoint `json:"endpoints"`
	Calls     []Call     `json:"calls,omitempty"`
}

// Repeatable reports whether a call with the given method and path may run more than once, as declared for the
// longest matching path prefix. A call that matches no declaration may not.
func (s *Service) Repeatable(method, path string) bool {
	best, repeatable := -1, false
	for _, c := range s.Calls {
		if c.Method != method || !c.matches(path) || len(c.Path) <= best {
			continue
		}
		best, repeatable = len(c.Path), c.Repeatable
	}
	return repeatable
}

// Call declares whether calls with a method and path prefix may run more than once.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
}

func (c Call) matches(path string) bool {
	if !strings.HasPrefix(path, c.Path) {
		return false
	}
	return len(path) == len(c.Path) || strings.HasSuffix(c.Path, "/") || path[len(c.Path)] == '/'
}
