// Package infra defines the interfaces through which moorrun uses the platform that it runs on:
// the object API, the VM list, the weight store and the model engines.
package infra

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound is returned by Get for a key without an object.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable is returned when the platform does not answer.
var ErrUnavailable = errors.New("platform store is unavailable")

// ErrHistoryGone is returned by Watch when the store no longer keeps the requested changes; the caller must list again.
var ErrHistoryGone = errors.New("the store no longer keeps the requested changes")

// MaxValueBytes is the size of the largest value that the object API accepts.
const MaxValueBytes = 1 << 20

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns the object under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns every object whose key starts with prefix, and the store version that the list reflects.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object is still at ifVersion (0: does not exist). It returns the new version if
	// the outcome is Applied.
	Put(ctx context.Context, key string, value any, ifVersion int64) (Outcome, int64, error)
	// Delete removes the object if it is still at ifVersion.
	Delete(ctx context.Context, key string, ifVersion int64) (Outcome, error)
	// Watch waits up to wait for changes to keys starting with prefix that are later than version after. It
	// returns them, or none on timeout.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error)
}
