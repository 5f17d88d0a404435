package quarantine

// recentSize is how many requests are remembered at least as answered, some 200 KB. At 230 requests a second, a node's share
// at the size to come, that is the last nine seconds; what many callers ask for comes again sooner.
const recentSize = 2048

// recent remembers the fingerprints that were put in last: at least recentSize, at most twice as many.
type recent struct {
	young, old map[Fingerprint]struct{}
}

func (r *recent) put(f Fingerprint) {
	if r.young == nil || len(r.young) >= recentSize {
		r.old = r.young
		r.young = make(map[Fingerprint]struct{}, recentSize)
	}
	r.young[f] = struct{}{}
}

func (r *recent) has(f Fingerprint) bool {
	if _, ok := r.young[f]; ok {
		return true
	}
	_, ok := r.old[f]
	return ok
}
