// Package once makes a request that carries an idempotency key run at most once.
//
// The record of a key is kept only in the memory of its home, the process that issued the key. When the home is
// gone, the outcome of its requests is unknown, and every later send of them gets the verdict "may have run".
package once

import (
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/verdict"
)

const (
	shardCount = 16
	// retentionMinutes is how long after its stamp a key is accepted, in minutes.
	retentionMinutes = 15
	// maxRecordBytes is the limit for the memory of all records, including the answers stored in them.
	maxRecordBytes = 6 << 20
	// MaxStoredBody is the maximum size in bytes of a stored answer body.
	MaxStoredBody      = 64 << 10
	entryOverheadBytes = 256 // memory counted for a record without its answer body
)

// The reasons why Claim refuses a key.
var (
	ErrExpired = errors.New("the key is older than its home remembers")
	ErrFuture  = errors.New("the key's stamp was never handed out")
	ErrReused  = errors.New("the key was used for another request")
	ErrFull    = errors.New("too many keys are remembered")
)

// ClaimStore holds the records of the keys whose home is this process.
type ClaimStore struct {
	started time.Time
	now     func() time.Time
	shards  [shardCount]shard

	mu          sync.Mutex
	bytes       int
	oldestStamp int64 // keys with lower stamps are refused, as their records may be deleted
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*Entry
}

// NewClaimStore returns an empty ClaimStore; now returns the current time.
func NewClaimStore(now func() time.Time) *ClaimStore {
	b := &ClaimStore{started: now(), now: now}
	for i := range b.shards {
		b.shards[i].entries = make(map[string]*Entry)
	}
	return b
}

// SinceStart returns the time since the ClaimStore was created. Stamps of keys count its minutes.
func (b *ClaimStore) SinceStart() time.Duration { return b.now().Sub(b.started) }

// Claim returns the entry of the key and creates it if there is none. fresh is true only for the caller that
// created the entry: it alone may run the request, and must then call Finish or Abandon. If Claim returns an
// error, nothing was recorded.
func (b *ClaimStore) Claim(workspace string, key Key, fingerprint [32]byte) (e *Entry, fresh bool, err error) {
	if key.Stamp > int64(b.SinceStart()/time.Minute) {
		return nil, false, ErrFuture
	}
	id := workspace + "\x00" + key.Unique
	s := &b.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok {
		if e.fingerprint != fingerprint || e.stamp != key.Stamp {
			return nil, false, ErrReused
		}
		return e, false, nil
	}
	if err := b.reserveEntry(key.Stamp); err != nil {
		return nil, false, err
	}
	e = &Entry{fingerprint: fingerprint, stamp: key.Stamp, done: make(chan struct{}), size: entryOverheadBytes}
	s.entries[id] = e
	return e, true, nil
}

// reserveEntry reserves memory for the entry of a new key. It refuses keys whose records may have been deleted,
// and all new keys while the memory limit is reached.
func (b *ClaimStore) reserveEntry(stamp int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stamp < b.oldestStamp {
		return ErrExpired
	}
	if b.bytes+entryOverheadBytes > maxRecordBytes {
		return ErrFull
	}
	b.bytes += entryOverheadBytes
	return nil
}

// Contains reports whether a request with this key, of any workspace, has been claimed here and its entry has been
// neither abandoned nor swept. It compares only the unique text of the keys.
func (b *ClaimStore) Contains(key Key) bool {
	for i := range b.shards {
		if b.shards[i].contains(key.Unique) {
			return true
		}
	}
	return false
}

func (s *shard) contains(unique string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.entries {
		if strings.HasSuffix(id, "\x00"+unique) {
			return true
		}
	}
	return false
}

// Finish stores the outcome of the claimed request and wakes the callers that wait for it. A body that is larger
// than MaxStoredBody or exceeds the memory limit is not stored.
func (b *ClaimStore) Finish(e *Entry, answer StoredAnswer) {
	if len(answer.Body) > MaxStoredBody || !b.reserveBody(len(answer.Body)) {
		answer.Body, answer.Complete = nil, false
	}
	e.size += len(answer.Body)
	e.answer = answer
	close(e.done)
}

func (b *ClaimStore) reserveBody(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+size > maxRecordBytes {
		return false
	}
	b.bytes += size
	return true
}

// Abandon deletes the entry of a claimed request that certainly did not run, so that it can be sent again.
func (b *ClaimStore) Abandon(workspace string, key Key, e *Entry) {
	id := workspace + "\x00" + key.Unique
	s := &b.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	delete(s.entries, id)
	s.mu.Unlock()
	b.mu.Lock()
	b.bytes -= e.size
	b.mu.Unlock()
	e.answer = StoredAnswer{Verdict: verdict.NotRun}
	close(e.done)
}

// Sweep deletes the entries of finished requests whose retention has passed. Before it deletes the first entry
// with a stamp, it makes Claim refuse new claims with that stamp, so a deleted key cannot be claimed again.
func (b *ClaimStore) Sweep() {
	oldest := int64(b.SinceStart()/time.Minute) - retentionMinutes
	if oldest <= 0 {
		return
	}
	b.mu.Lock()
	b.oldestStamp = max(b.oldestStamp, oldest)
	oldest = b.oldestStamp
	b.mu.Unlock()
	freed := 0
	for i := range b.shards {
		freed += b.shards[i].sweep(oldest)
	}
	b.mu.Lock()
	b.bytes -= freed
	b.mu.Unlock()
}

func (s *shard) sweep(oldest int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	freed := 0
	for id, e := range s.entries {
		select {
		case <-e.done:
		default:
			continue // the request is still running: its entry is kept regardless of age
		}
		if e.stamp < oldest {
			freed += e.size
			delete(s.entries, id)
		}
	}
	return freed
}
