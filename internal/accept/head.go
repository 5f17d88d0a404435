package accept

import "slices"

// maxOperations is how many past operations the head remembers, so that a lost answer is settled
// even after other operators have gone on.
const maxOperations = 256

// Head is the object whose conditional update accepts a configuration.
type Head struct {
	Revision   int64               `json:"revision"` // only grows; 0 is no configuration
	Parts      map[string]*PartRef `json:"parts"`
	Operations []Operation         `json:"operations"` // the latest last
}

// Find returns the operation with that id.
func (h *Head) Find(id string) (Operation, bool) {
	i := slices.IndexFunc(h.Operations, func(o Operation) bool { return o.ID == id })
	if i < 0 {
		return Operation{}, false
	}
	return h.Operations[i], true
}

// next returns the head that accepts the operation on top of h.
func (h *Head) next(op Operation, changed map[string]*PartRef, removed []string) *Head {
	n := &Head{Revision: h.Revision + 1, Parts: make(map[string]*PartRef, len(h.Parts))}
	for name, ref := range h.Parts {
		n.Parts[name] = ref
	}
	for name, ref := range changed {
		ref.Revision = n.Revision
		n.Parts[name] = ref
	}
	for _, name := range removed {
		delete(n.Parts, name)
	}
	op.Revision = n.Revision
	n.Operations = append(slices.Clone(h.Operations), op)
	if extra := len(n.Operations) - maxOperations; extra > 0 {
		n.Operations = n.Operations[extra:]
	}
	return n
}
