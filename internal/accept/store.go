// Package accept stores the accepted configuration and applies changes to it atomically. The changed parts are
// written first, each as an object of its own; one conditional update of the head object then accepts all of them
// or none.
package accept

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/zeebo/errs"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
)

// Error is the class of this package's errors.
var Error = errs.Class("accept")

// Store reads the accepted configuration from the object store and applies changes to it.
type Store struct {
	objects infra.ObjectStore
}

// NewStore returns a Store over the platform's object API.
func NewStore(objects infra.ObjectStore) *Store { return &Store{objects} }

// Head returns the head and its object version. Before the first apply it returns an empty head and version 0.
func (s *Store) Head(ctx context.Context) (*Head, int64, error) {
	o, err := s.objects.Get(ctx, keys.Head)
	if errors.Is(err, infra.ErrNotFound) {
		return &Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	h, err := DecodeHead(o.Value)
	return h, o.Version, err
}

// DecodeHead decodes the head object's value.
func DecodeHead(raw json.RawMessage) (*Head, error) {
	h := &Head{}
	if err := json.Unmarshal(raw, h); err != nil {
		return nil, Error.New("head object: %w", err)
	}
	for name, ref := range h.Parts {
		if ref == nil {
			return nil, Error.New("head object: part %.80q has no key", name)
		}
	}
	return h, nil
}

// Part fetches one part and verifies its hash.
func (s *Store) Part(ctx context.Context, name string, ref *PartRef) (config.Part, error) {
	o, err := s.objects.Get(ctx, ref.Key)
	if err != nil {
		return config.Part{}, Error.New("part %s: %w", name, err)
	}
	return DecodePart(name, ref, o.Value)
}

// DecodePart parses the stored content of a part and verifies its hash.
func DecodePart(name string, ref *PartRef, content json.RawMessage) (config.Part, error) {
	p, problems := config.ParsePart(name, content)
	if problems != nil {
		return p, Error.New("stored part %s: %w", name, problems)
	}
	if p.Hash() != ref.Hash {
		return p, Error.New("stored part %s does not match its hash", name)
	}
	return p, nil
}

// Set fetches all parts that the head refers to.
func (s *Store) Set(ctx context.Context, h *Head) (config.Set, error) {
	set := make(config.Set, len(h.Parts))
	for name, ref := range h.Parts {
		p, err := s.Part(ctx, name, ref)
		if err != nil {
			return nil, err
		}
		set[name] = p
	}
	return set, nil
}

// Check returns the result that Apply would return for r, without writing anything.
func (s *Store) Check(ctx context.Context, r Request) (Result, error) {
	h, _, err := s.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	set, err := s.Set(ctx, h)
	if err != nil {
		return Result{}, err
	}
	return evaluate(r, h, set), nil
}

// OperationResult reports whether the operation with the given id was accepted, for an operator who did not
// receive the answer. It returns status Unknown if the head does not list the operation.
func (s *Store) OperationResult(ctx context.Context, operation string) (Result, error) {
	h, _, err := s.Head(ctx)
	if err != nil {
		return Result{}, err
	}
	if op, ok := h.Find(operation); ok {
		return Result{Status: Accepted, Operation: operation, Revision: op.Revision}, nil
	}
	return Result{Status: Unknown, Operation: operation, Revision: h.Revision,
		Detail: "not among the accepted operations; apply again with the same operation id to settle it"}, nil
}

// Apply applies all changes of the request or none. While the store does not answer, it retries until ctx ends and
// then returns status Unknown; repeating the request with the same operation id yields the actual outcome.
func (s *Store) Apply(ctx context.Context, r Request) (Result, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = 20 * time.Millisecond
	wait.MaxInterval = time.Second
	a := attempt{store: s, request: r, written: make(map[string]string)}
	for {
		result, err := a.try(ctx)
		if err == nil {
			return result, nil
		}
		if !isRetryable(err) && ctx.Err() == nil {
			return Result{}, err
		}
		select {
		case <-ctx.Done():
			return a.unknownResult(err), nil
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// isRetryable reports whether err means that the store was unavailable, or that a part was replaced and deleted
// while it was being read.
func isRetryable(err error) bool {
	return errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrNotFound)
}

// attempt is the state of one Apply call across its retries.
type attempt struct {
	store             *Store
	request           Request
	written           map[string]string // part name → key of the object already written
	headUpdatePending bool              // whether a head update was sent that may still take effect
	headUpdateVersion int64             // object version on which that update was conditional
}

// unknownResult returns the result for a request whose outcome is not known when its context ends.
func (a *attempt) unknownResult(cause error) Result {
	detail := "the store did not answer; nothing was accepted by this call: " + cause.Error()
	if a.headUpdatePending {
		detail = "the store did not answer; send the same operation again to settle it: " + cause.Error()
	}
	return Result{Status: Unknown, Operation: a.request.Operation, Detail: detail}
}

// try applies the request, starting over from the new head if another head update came first. It returns a result,
// or an error after which Apply may call it again.
func (a *attempt) try(ctx context.Context) (Result, error) {
	r := a.request
	for {
		h, version, err := a.store.Head(ctx)
		if err != nil {
			return Result{}, err
		}
		if op, ok := h.Find(r.Operation); ok {
			return Result{Status: Accepted, Operation: r.Operation, Revision: op.Revision}, nil
		}
		if version != a.headUpdateVersion {
			a.headUpdatePending = false // the head has changed, so that update can no longer take effect
		}
		set, err := a.store.Set(ctx, h)
		if err != nil {
			return Result{}, err
		}
		result := evaluate(r, h, set)
		if result.Status != Accepted {
			a.discard(ctx)
			return result, nil
		}
		refs, err := a.writeParts(ctx, set)
		if err != nil {
			return Result{}, err
		}
		next := h.next(Operation{ID: r.Operation, By: r.By}, refs, r.Remove)
		a.headUpdatePending, a.headUpdateVersion = true, version
		outcome, _, err := a.store.objects.Put(ctx, keys.Head, next, version)
		switch outcome {
		case infra.Applied:
			a.deleteUnreferenced(ctx, h, next)
			result.Revision = next.Revision
			return result, nil
		case infra.Unknown:
			return Result{}, err
		case infra.NotApplied:
			if err != nil {
				return Result{}, err
			}
		}
	}
}

// evaluate returns the result of the request against the head h and its parts in set: whether it is permitted, in
// conflict, valid, and a change at all.
func evaluate(r Request, h *Head, set config.Set) Result {
	result := Result{Status: Accepted, Operation: r.Operation, Revision: h.Revision}
	merged := set.Merge(r.Changes, r.Remove)
	result.Changes = config.Diff(set, merged)
	touched := append(r.Changes.Names(), r.Remove...)
	for _, name := range touched {
		if !r.Scope.Covers(name) {
			result.Problems = append(result.Problems, config.Problem{File: r.Changes[name].File, Field: "/",
				Message: fmt.Sprintf("this credential may not change %s; ask an operator of the pool", name)})
		}
	}
	if result.Problems != nil {
		result.Status = Invalid
		return result
	}
	if winner := changedSince(h, touched, r.Base); winner != "" {
		result.Status = Conflict
		result.Winner = winner
		return result
	}
	if problems := merged.Validate(); problems != nil {
		result.Status = Invalid
		result.Problems = problems
		return result
	}
	if len(result.Changes) == 0 {
		result.Status = Unchanged
	}
	return result
}

// changedSince describes the operation that changed one of the parts after revision base, or returns "" if none
// has changed since.
func changedSince(h *Head, parts []string, base int64) string {
	for _, name := range parts {
		ref, ok := h.Parts[name]
		if !ok || ref.Revision <= base {
			continue
		}
		for _, op := range h.Operations {
			if op.Revision == ref.Revision {
				return fmt.Sprintf("revision %d by %s changed %s (operation %s)", op.Revision, op.By, name, op.ID)
			}
		}
		return fmt.Sprintf("revision %d changed %s", ref.Revision, name)
	}
	return ""
}

// writeParts writes the parts that differ from set and returns references to them. Their keys contain the operation
// id, so that only heads from this operation on refer to them and they can be deleted once they are replaced.
func (a *attempt) writeParts(ctx context.Context, set config.Set) (map[string]*PartRef, error) {
	refs := make(map[string]*PartRef)
	for name, part := range a.request.Changes {
		if old, ok := set[name]; ok && old.Hash() == part.Hash() {
			continue
		}
		key := keys.Parts + strings.ReplaceAll(name, "/", ".") + "/" + a.request.Operation
		if _, done := a.written[name]; !done {
			if err := a.writePart(ctx, key, part); err != nil {
				return nil, err
			}
			a.written[name] = key
		}
		refs[name] = &PartRef{Key: key, Hash: part.Hash()}
	}
	return refs, nil
}

func (a *attempt) writePart(ctx context.Context, key string, part config.Part) error {
	content := part.Content()
	if len(content) > infra.MaxValueBytes {
		return Error.New("%s: %s is %d bytes, the store takes %d; split it", part.File, part.Name(), len(content), infra.MaxValueBytes)
	}
	outcome, _, err := a.store.objects.Put(ctx, key, content, 0)
	if outcome == infra.NotApplied && err == nil {
		return a.verifyPart(ctx, key, part) // already written by an earlier try of this operation
	}
	return err
}

// verifyPart returns an error if the object at key has other content than part, which means that the operation id
// was already used for a different request.
func (a *attempt) verifyPart(ctx context.Context, key string, part config.Part) error {
	_, err := a.store.Part(ctx, part.Name(), &PartRef{Key: key, Hash: part.Hash()})
	if errors.Is(err, infra.ErrUnavailable) {
		return err
	}
	if err != nil {
		return Error.New("operation %s was used for other content; take a new operation id", a.request.Operation)
	}
	return nil
}

// deleteUnreferenced deletes the parts of the old head that the accepted head no longer refers to. A part that it
// fails to delete takes up space but does no other harm.
func (a *attempt) deleteUnreferenced(ctx context.Context, old, accepted *Head) {
	for name, ref := range old.Parts {
		if current, ok := accepted.Parts[name]; ok && current.Key == ref.Key {
			continue
		}
		a.remove(ctx, ref.Key)
	}
}

// discard deletes the parts written for a refused request, unless a head update sent earlier for this request may
// still be accepted.
func (a *attempt) discard(ctx context.Context) {
	if a.headUpdatePending {
		return
	}
	for _, key := range a.written {
		a.remove(ctx, key)
	}
}

func (a *attempt) remove(ctx context.Context, key string) {
	if o, err := a.store.objects.Get(ctx, key); err == nil {
		_, _ = a.store.objects.Delete(ctx, key, o.Version)
	}
}
