package accept

import "slices"

// maxOperations is the number of past operations that the head lists. An operator whose answer was lost can look up
// the operation's outcome there, even after other operators have applied further changes.
const maxOperations = 256

// Head is the object that lists the parts of the accepted configuration. A configuration is accepted by a
// conditional update of this object.
type Head struct {
	Revision   int64               `json:"revision"` // increases with each accepted operation; 0 means no configuration
	Parts      map[string]*PartRef `json:"parts"`
	Operations []Operation         `json:"operations"` // oldest first
}

// Find returns the listed operation with the given id, or false if there is none.
func (h *Head) Find(id string) (Operation, bool) {
	i := slices.IndexFunc(h.Operations, func(o Operation) bool { return o.ID == id })
	if i < 0 {
		return Operation{}, false
	}
	return h.Operations[i], true
}

// next returns the head that follows h once op is accepted, with the changed parts replaced and the removed ones
// left out. It sets the revision of each changed part.
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
