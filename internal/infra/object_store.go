// Package infra holds the narrow interfaces behind which the users' platform stands:
// the object API, the VM list, the weight store and the model engines.
package infra

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound is returned by Get for a key that holds nothing.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable is returned when the platform does not answer.
var ErrUnavailable = errors.New("platform store is unavailable")

// ErrHistoryGone is returned by Watch when the store has forgotten the changes asked for: list again.
var ErrHistoryGone = errors.New("the store's history is gone")

// MaxValueBytes is the largest value the object API takes.
const MaxValueBytes = 1 << 20

// ObjectStore is the platform's object API.
type ObjectStore interface {
	// Get returns the object under key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns every object below prefix and the store version it is current at.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes value if the object is still at ifVersion (0: absent). The version is set when Applied.
	Put(ctx context.Context, key string, value any, ifVersion int64) (Outcome, int64, error)
	// Delete removes the object if it is still at ifVersion.
	Delete(ctx context.Context, key string, ifVersion int64) (Outcome, error)
	// Watch waits up to wait for changes below prefix after version and returns them, none on timeout.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error)
}
