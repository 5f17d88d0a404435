package once_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"moorrun.dev/moorrun/internal/once"
	_ "moorrun.dev/moorrun/internal/rapidseed"
	"moorrun.dev/moorrun/internal/verdict"
)

func TestClaimIsFreshAtMostOncePerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := once.NewClaimStore(func() time.Time { return now })
		freshClaims := map[string]int{}
		unfinished := map[string]*once.Entry{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			stamp := rapid.Int64Range(0, int64(store.SinceStart()/time.Minute)).Draw(t, "stamp")
			key := once.Key{VM: "v", Incarnation: "i", Stamp: stamp, Unique: fmt.Sprint(stamp, "-", rapid.IntRange(0, 3).Draw(t, "unique"))}
			e, fresh, err := store.Claim("w", key, [32]byte{1})
			if fresh {
				freshClaims[key.Unique]++
				unfinished[key.Unique] = e
			}
			if freshClaims[key.Unique] > 1 {
				t.Fatalf("key %s was reported fresh %d times, want at most 1", key.Unique, freshClaims[key.Unique])
			}
			if err == nil && e == nil {
				t.Fatal("Claim returned neither an entry nor an error")
			}
			if rapid.Bool().Draw(t, "finish") && unfinished[key.Unique] != nil {
				store.Finish(unfinished[key.Unique], once.StoredAnswer{Status: 200, Verdict: verdict.Ran})
				delete(unfinished, key.Unique)
			}
			if rapid.Bool().Draw(t, "sweep") {
				store.Sweep()
			}
		}
	})
}

func TestKeysPastRetentionAreRefused(t *testing.T) {
	now := time.Unix(0, 0)
	store := once.NewClaimStore(func() time.Time { return now })
	key := once.Key{VM: "v", Incarnation: "i", Stamp: 0, Unique: "u"}
	e, _, err := store.Claim("w", key, [32]byte{})
	qt.Assert(t, err, qt.IsNil)
	store.Finish(e, once.StoredAnswer{Verdict: verdict.Ran})
	now = now.Add(time.Hour)
	store.Sweep()
	_, _, err = store.Claim("w", key, [32]byte{})
	qt.Assert(t, errors.Is(err, once.ErrExpired), qt.IsTrue)
	_, _, err = store.Claim("w", once.Key{Stamp: 1 << 40, Unique: "f"}, [32]byte{})
	qt.Assert(t, errors.Is(err, once.ErrFuture), qt.IsTrue)
}

func FuzzParseKey(f *testing.F) {
	f.Add("entry-1/abcd/3/order-7")
	f.Add("////")
	f.Add("a/b/99999999999999999999/c")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := once.ParseKey(text)
		if err == nil && (k.VM == "" || k.Unique == "" || k.Stamp < 0) {
			t.Fatalf("ParseKey(%q) accepted an invalid key: %+v", text, k)
		}
	})
}
