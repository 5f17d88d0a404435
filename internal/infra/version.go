package infra

// revisionBits is the number of bits of a version that hold the revision. A store with 400 writes a second uses them up in 87 years.
const revisionBits = 40

const (
	// MaxRevision is the highest revision that a version can hold.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<20 - 1
)

// VersionAt returns the version of a write that the store counts with the given revision. A store may come back from a copy: it has
// then lost its last writes and gives their revisions out again. Its era rises by one each time, so that versions never go back.
func VersionAt(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era in which a version was written.
func EraOf(version int64) int64 { return version >> revisionBits }

// RevisionOf returns the store's revision of a version.
func RevisionOf(version int64) int64 { return version & (1<<revisionBits - 1) }
