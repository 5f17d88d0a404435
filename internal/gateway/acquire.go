package gateway

import (
	"context"
	"errors"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/engine"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/tunnel"
)

// errTooLate means that the retry taken for the next attempt no longer counts, and another is not allowed.
var errTooLate = errors.New("a place was found too late for a retry")

// acquire returns a place for the next attempt. If there is none, the retry taken for the attempt is given back.
func (a *activeRequest) acquire(ctx context.Context) (*picker.Place, error) {
	place, err := a.acquireUnlessHeld(ctx)
	if err != nil {
		a.returnRetry()
		return nil, err
	}
	if !a.useRetry() {
		place.Release()
		return nil, errTooLate
	}
	return place, nil
}

// acquireUnlessHeld returns a place for the next attempt, unless the request is held back. It checks for that again after the
// wait for the place.
func (a *activeRequest) acquireUnlessHeld(ctx context.Context) (*picker.Place, error) {
	a.trial = nil
	if err := a.heldBack(); err != nil {
		return nil, err
	}
	place, err := a.awaitPlace(ctx)
	if err != nil {
		return nil, err
	}
	if err := a.mayBegin(); err != nil {
		place.Release()
		return nil, err
	}
	return place, nil
}

// mayBegin returns why an attempt must not begin although there is a place for it. A request that has run is tried again even if this
// node is stopping: nothing else can complete its answer.
func (a *activeRequest) mayBegin() error {
	if a.ran == 0 && !a.leavesTime() {
		return errNoTime
	}
	return a.heldBack()
}

// awaitPlace chooses an endpoint for the request and waits for a place there.
func (a *activeRequest) awaitPlace(ctx context.Context) (*picker.Place, error) {
	w, err := a.requirements()
	if err != nil {
		return nil, err
	}
	began := clock.Now()
	place, err := a.gateway.Picker.Acquire(ctx, w)
	a.gateway.metrics.placeWait.Record(clock.Since(began))
	return place, err
}

// requirements returns what the next attempt needs of a place.
func (a *activeRequest) requirements() (*picker.Requirements, error) {
	w := &picker.Requirements{
		Service: a.service.Name, ColdFor: a.service.ColdFor, ColdPerSecond: a.service.ColdPerSecond, Workspace: a.workspace.Name, Priority: a.priority(), Exclude: a.excluded,
		MaxWait: time.Duration(placeWaitFraction * float64(a.route.Objective)),
	}
	if e := a.service.Engine; e != nil {
		model, ok := e.Model(a.request.Model)
		if !ok {
			return nil, errNoModel
		}
		w.Model, w.Slots, w.Size = model.Name, e.Slots, model.Size
		w.PromptTokens, w.Objective = a.request.PromptTokens, a.route.Objective
		w.Engine = engine.Model{Figures: e.Figures, Pace: model.Pace}
	}
	if a.begun {
		w.MaxWait = a.route.GapObjective / 2
	}
	return w, nil
}

var errNoModel = errors.New("the service has no such model")

// exclude keeps further attempts away from the group or endpoint of a failed attempt, unless that failed on the way there.
func (a *activeRequest) exclude(o *outcome) {
	if !errors.Is(o.err, tunnel.ErrBroken) {
		a.excluded = append(a.excluded, o.attempt.place.Key())
	}
}

// refuseWithoutPlace refuses a request that got no place. A request that may have run is not refused as NotRun.
func (a *activeRequest) refuseWithoutPlace(ctx context.Context, err error) {
	var held *heldError
	var paused *picker.PausedError
	switch {
	case a.ran > 0:
		a.fail(ctx, "no place for another attempt: "+err.Error())
	case errors.Is(err, errNoTime), errors.Is(context.Cause(ctx), ErrStopping):
		a.refuseStopping()
	case errors.As(err, &held):
		a.refuseHeld(held)
	case errors.As(err, &paused):
		a.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: addJitter(paused.Remaining)})
	default:
		after := a.gateway.shortages.recordRefusal(a.service.Name+"/"+a.request.Model, clock.Now())
		a.refuse(Refusal{Reason: NotRun, Detail: err.Error(), RetryAfter: after})
	}
}
