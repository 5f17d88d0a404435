package estate

import (
	"context"
	"time"
)

func (w *Worker) isStalled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalled
}

// Kill stops the worker at once; its entry is removed from the store after the given delay.
func (w *Worker) Kill(removalDelay time.Duration) {
	w.mu.Lock()
	w.dead = true
	w.mu.Unlock()
	w.server.Listener.Close() //nolint:errcheck // the worker is dead
	w.server.CloseClientConnections()
	time.AfterFunc(removalDelay, func() { w.platform.Store.Remove("servers", w.ID) })
}

// StallStreams makes the streams of the worker stop sending events, or continue.
func (w *Worker) StallStreams(on bool) { w.set(func() { w.stalled = on }) }

// Freeze makes the worker do nothing for a while, as if its process were suspended: connections are accepted, and nothing is
// answered until the time is over.
func (w *Worker) Freeze(d time.Duration) { w.set(func() { w.frozenUntil = time.Now().Add(d) }) }

// awaitThaw waits until the worker is not frozen, or ctx ends.
func (w *Worker) awaitThaw(ctx context.Context) {
	w.mu.Lock()
	until := w.frozenUntil
	w.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}

// Refuse makes the worker refuse all requests as not executed, without a Retry-After header, or accept them again.
func (w *Worker) Refuse(on bool) { w.set(func() { w.refusing, w.retryAfter = on, "" }) }

// RefuseWithRetryAfter makes the worker refuse all requests as not executed, with the given Retry-After.
func (w *Worker) RefuseWithRetryAfter(seconds string) {
	w.set(func() { w.refusing, w.retryAfter = true, seconds })
}

// AnnounceLimit sets the rate limit that the worker announces in its responses, in requests per second; empty for none.
// The worker does not enforce it.
func (w *Worker) AnnounceLimit(perSecond string) { w.set(func() { w.announcedLimit = perSecond }) }

// DropNextResponses makes the worker run the next n requests without responding.
func (w *Worker) DropNextResponses(n int) { w.set(func() { w.dropResponses = n }) }

// AnswerUnframed makes the worker answer with neither a length nor chunks.
func (w *Worker) AnswerUnframed() { w.set(func() { w.unframed = true }) }

// BreakOffNextUnframed makes the worker end the next n unframed responses midway, with a reset of their connections if reset is set.
func (w *Worker) BreakOffNextUnframed(n int, reset bool) {
	w.set(func() { w.breakOffs, w.resetsBrokenOff = n, reset })
}

// PauseWithinUnframed makes the worker pause within its unframed responses that are no streams.
func (w *Worker) PauseWithinUnframed(d time.Duration) { w.set(func() { w.pauseWithin = d }) }

// Drain announces in the entry and in responses that the worker is about to leave.
func (w *Worker) Drain() {
	w.set(func() { w.draining = true })
	w.writeEntry()
}

// AnnounceLeaving announces in responses, but not in the entry, that the worker is about to leave.
func (w *Worker) AnnounceLeaving() { w.set(func() { w.announcesLeaving = true }) }

func (w *Worker) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// Alive reports whether the worker has neither been killed nor crashed.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// OpenHead reports whether the worker is alive and the head of an open group.
func (w *Worker) OpenHead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead && w.group != nil && w.group.State == "open"
}

// Address returns the address at which the worker listens.
func (w *Worker) Address() string { return w.server.Listener.Addr().String() }
