package drains

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// Error is the error class of this package.
var Error = errs.Class("drain")

// Set drains the VM or endpoint with the given name, or ends its drain if drained is false. After a conflicting write or
// an unavailable store, where the outcome may be unknown, it reads the list again and retries until ctx ends.
func Set(ctx context.Context, objects infra.ObjectStore, name, by, operation string, drained bool) error {
	for {
		err := setOnce(ctx, objects, name, by, operation, drained)
		if err == nil || !errors.Is(err, infra.ErrUnavailable) && !errors.Is(err, errWriteConflict) {
			return Error.Wrap(err)
		}
		select {
		case <-ctx.Done():
			return Error.New("outcome unknown, run the command again: %w", err)
		case <-time.After(100 * time.Millisecond):
		}
	}
}

var errWriteConflict = errors.New("another operator wrote first")

func setOnce(ctx context.Context, objects infra.ObjectStore, name, by, operation string, drained bool) error {
	var d Drains
	o, err := objects.Get(ctx, keys.Drains)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(o.Value, &d); err != nil {
			return err
		}
	}
	if d.Has(name) == drained {
		return nil
	}
	if d.Names == nil {
		d.Names = make(map[string]Drain)
	}
	if drained {
		d.Names[name] = Drain{by, operation}
	} else {
		delete(d.Names, name)
	}
	outcome, _, err := objects.Put(ctx, keys.Drains, d, o.Version)
	if outcome == infra.NotApplied && err == nil {
		return errWriteConflict
	}
	return err
}
