package config

import "strings"

// Service is a plain HTTP service beside the model engines.
type Service struct {
	Name      string     `json:"name"`
	Endpoints []Endpoint `json:"endpoints"`
	Calls     []Call     `json:"calls,omitempty"`
}

// Repeatable reports whether a call of that method and path may run more than once;
// a call that is not declared may not. The longest declared path prefix decides.
func (s *Service) Repeatable(method, path string) bool {
	best, repeatable := -1, false
	for _, c := range s.Calls {
		if c.Method != method || !c.covers(path) || len(c.Path) <= best {
			continue
		}
		best, repeatable = len(c.Path), c.Repeatable
	}
	return repeatable
}

// Call declares whether a method and path prefix may be repeated.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
}

func (c Call) covers(path string) bool {
	if !strings.HasPrefix(path, c.Path) {
		return false
	}
	return len(path) == len(c.Path) || strings.HasSuffix(c.Path, "/") || path[len(c.Path)] == '/'
}
