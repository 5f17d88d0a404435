// Package once lets a request that carries an idempotency key run at most once.
//
// The key's home keeps the record in memory. When the home is gone, what became of its keys is not known,
// and every later send is answered so: it may have run.
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
	// retention is for how many minutes a key is good after its stamp.
	retention = 15
	// maxBytes bounds the answers kept, over all keys.
	maxBytes = 6 << 20
	// MaxStoredBody is the largest body kept.
	MaxStoredBody = 64 << 10
	entryBytes    = 256 // of a record without its body
)

// The reasons a claim is refused for.
var (
	ErrForgotten = errors.New("the key is older than its home remembers")
	ErrFuture    = errors.New("the key's stamp was never handed out")
	ErrReused    = errors.New("the key was used for another request")
	ErrFull      = errors.New("too many keys are remembered")
)

// Book holds the records of the keys whose home this process is.
type Book struct {
	started time.Time
	now     func() time.Time
	shards  [shardCount]shard

	mu     sync.Mutex
	bytes  int
	oldest int64 // stamps below this are forgotten
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*Entry
}

// NewBook returns an empty Book; now is the process's clock.
func NewBook(now func() time.Time) *Book {
	b := &Book{started: now(), now: now}
	for i := range b.shards {
		b.shards[i].entries = make(map[string]*Entry)
	}
	return b
}

// SinceStart is the home's clock, for stamps.
func (b *Book) SinceStart() time.Duration { return b.now().Sub(b.started) }

// Claim returns the key's entry. fresh is true for the one caller that may run the request; it must call
// Finish. An error means that nothing was recorded.
func (b *Book) Claim(workspace string, key Key, fingerprint [32]byte) (e *Entry, fresh bool, err error) {
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
	if err := b.admit(key.Stamp); err != nil {
		return nil, false, err
	}
	e = &Entry{fingerprint: fingerprint, stamp: key.Stamp, done: make(chan struct{}), size: entryBytes}
	s.entries[id] = e
	return e, true, nil
}

// admit refuses keys whose records may be gone, and new ones while memory is full.
func (b *Book) admit(stamp int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stamp < b.oldest {
		return ErrForgotten
	}
	if b.bytes+entryBytes > maxBytes {
		return ErrFull
	}
	b.bytes += entryBytes
	return nil
}

// Knows reports whether any workspace's request of that key has been claimed here and not abandoned.
func (b *Book) Knows(key Key) bool {
	for i := range b.shards {
		if b.shards[i].knows(key.Unique) {
			return true
		}
	}
	return false
}

func (s *shard) knows(unique string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.entries {
		if strings.HasSuffix(id, "\x00"+unique) {
			return true
		}
	}
	return false
}

// Finish records how the claimed request ended and wakes those that wait for it.
func (b *Book) Finish(e *Entry, answer Stored) {
	if len(answer.Body) > MaxStoredBody || !b.keep(len(answer.Body)) {
		answer.Body, answer.Complete = nil, false
	}
	e.size += len(answer.Body)
	e.answer = answer
	close(e.done)
}

func (b *Book) keep(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytes+size > maxBytes {
		return false
	}
	b.bytes += size
	return true
}

// Abandon forgets a claimed request that certainly did not run, so that it can be sent again.
func (b *Book) Abandon(workspace string, key Key, e *Entry) {
	id := workspace + "\x00" + key.Unique
	s := &b.shards[xxhash.Sum64String(id)%shardCount]
	s.mu.Lock()
	delete(s.entries, id)
	s.mu.Unlock()
	b.mu.Lock()
	b.bytes -= e.size
	b.mu.Unlock()
	e.answer = Stored{Verdict: verdict.NotRun}
	close(e.done)
}

// Sweep forgets the keys that are past their retention. From the moment a stamp's records may go, keys of
// that stamp are refused as forgotten.
func (b *Book) Sweep() {
	oldest := int64(b.SinceStart()/time.Minute) - retention
	if oldest <= 0 {
		return
	}
	b.mu.Lock()
	b.oldest = max(b.oldest, oldest)
	oldest = b.oldest
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
			continue // still running: kept however old
		}
		if e.stamp < oldest {
			freed += e.size
			delete(s.entries, id)
		}
	}
	return freed
}
