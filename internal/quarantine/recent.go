package quarantine

// recentGenerationSize is the minimum number of answered requests that are kept; they take about 200 KB. At 230
// requests per second, a node's expected share at the planned fleet size, it covers the last nine seconds. Requests that many
// callers send are repeated sooner.
const recentGenerationSize = 2048

// recentSet holds the most recently added fingerprints: at least recentGenerationSize, at most twice as many.
type recentSet struct {
	current, previous map[Fingerprint]struct{}
}

func (r *recentSet) add(f Fingerprint) {
	if r.current == nil || len(r.current) >= recentGenerationSize {
		r.previous = r.current
		r.current = make(map[Fingerprint]struct{}, recentGenerationSize)
	}
	r.current[f] = struct{}{}
}

func (r *recentSet) has(f Fingerprint) bool {
	if _, ok := r.current[f]; ok {
		return true
	}
	_, ok := r.previous[f]
	return ok
}
