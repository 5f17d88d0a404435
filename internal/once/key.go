package once

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Key is an idempotency key. It names its home, the only process that may run its request, so all processes
// derive the same home from it, independent of their membership tables.
//
// Its text is VM/INCARNATION/STAMP/UNIQUE. The stamp is the time at which the home issued the prefix, in minutes
// since the start of the home and on its own clock.
type Key struct {
	VM          string
	Incarnation string
	Stamp       int64
	Unique      string
}

const (
	keyFields    = 4
	maxKeyLength = 256
)

// ErrKey is returned for text that is not a valid key.
var ErrKey = errors.New("the Idempotency-Key must be a prefix from POST /v1/keys, a slash and a unique text of your own")

// ParseKey parses the text form of a key.
func ParseKey(text string) (Key, error) {
	parts := strings.SplitN(text, "/", keyFields)
	if len(text) > maxKeyLength || len(parts) != keyFields || parts[0] == "" || parts[3] == "" {
		return Key{}, ErrKey
	}
	stamp, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil || stamp < 0 {
		return Key{}, ErrKey
	}
	return Key{parts[0], parts[1], stamp, parts[3]}, nil
}

// Prefix returns the part of a key that its home issues: all but the unique text and the slash before it.
// sinceStart is the time since the start of the home.
func Prefix(vm, incarnation string, sinceStart time.Duration) string {
	return fmt.Sprintf("%s/%s/%d", vm, incarnation, int64(sinceStart/time.Minute))
}
