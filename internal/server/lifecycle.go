package server

import (
	"context"
	"net/http"
	"time"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/gateway"
)

const (
	// acceptFraction is the fraction of the grace period during which connections are still accepted from callers that were given
	// this node's address earlier.
	acceptFraction = 0.45
	// finishFraction is the fraction of the grace period by which requests have to finish by themselves. Those that still run are ended
	// then, or earlier if the grace period is so short that minAnswerTime would not be left.
	finishFraction = 0.94
	// answerFraction is the fraction of the grace period by which the answers to requests that were ended are written.
	answerFraction = 0.97
	// minAnswerTime is the least time for writing these answers.
	minAnswerTime = 50 * time.Millisecond
	// answerTimeWithoutGrace is the time for writing these answers if the grace period is shorter than minAnswerTime. The process ends
	// earlier once they are written.
	answerTimeWithoutGrace = time.Second
)

// stopSchedule holds the times of a planned stop.
type stopSchedule struct {
	accept time.Time // until when connections are accepted
	finish time.Time // when requests that still run are ended
	answer time.Time // until when their answers are written
}

// newStopSchedule returns the schedule of a stop that begins at the given time.
func newStopSchedule(began time.Time, grace time.Duration) *stopSchedule {
	part := func(fraction float64) time.Duration { return time.Duration(fraction * float64(grace)) }
	finish, answer := min(part(finishFraction), part(answerFraction)-minAnswerTime), part(answerFraction)
	if finish <= 0 {
		finish, answer = 0, answerTimeWithoutGrace
	}
	return &stopSchedule{accept: began.Add(min(part(acceptFraction), finish)), finish: began.Add(finish), answer: began.Add(answer)}
}

// leave announces that this node is leaving, so that no new callers are sent to it, and serves those requests that end before it does.
// Later it stops accepting connections and waits for the running requests, also those that other nodes send through this one. At the
// end it calls endRequests, which cancels those that still run, and waits for their answers.
func (n *Server) leave(callers *http.Server, endRequests func()) {
	schedule := newStopSchedule(clock.Now(), n.settings.Grace())
	n.stop.Store(schedule)
	n.gossip.Kick()
	n.logStopping(schedule.finish)
	time.Sleep(clock.Until(schedule.accept))
	finish, cancel := clock.WithDeadline(context.Background(), schedule.finish)
	defer cancel()
	n.stopAccepting(finish, callers)
	if !n.callerConns.awaitEnd(finish) {
		n.logUnfinished()
	}
	n.tunnels.Wait(finish)
	endRequests()
	answer, cancelAnswer := clock.WithDeadline(context.Background(), schedule.answer)
	defer cancelAnswer()
	_ = n.callerConns.awaitEnd(answer) // what it leaves is closed with the server
}

// stopAccepting closes the listener and the idle connections of callers, and waits for the first requests of those that it has accepted,
// until ctx ends at most.
func (n *Server) stopAccepting(ctx context.Context, callers *http.Server) {
	if n.listeners.caller != nil {
		_ = n.listeners.caller.Close()
	}
	callers.SetKeepAlivesEnabled(false)
	read, cancel := clock.WithDeadline(ctx, clock.Now().Add(unreadTime))
	defer cancel()
	n.callerConns.awaitRead(read)
	if ctx.Err() == nil { // otherwise those that come are refused while answers are written
		n.callerConns.closeUnread()
	}
}

// leaving reports whether this node has been told to stop.
func (n *Server) leaving() bool { return n.stop.Load() != nil }

// plannedStop returns the planned stop of this process for its requests.
func (n *Server) plannedStop() gateway.Stop {
	s := n.stop.Load()
	if s == nil {
		return gateway.Stop{}
	}
	serving, stopping := n.otherNodes()
	wait := time.Duration(0)
	if stopping > 0 {
		wait = n.addressLifetime() * time.Duration(stopping) / time.Duration(serving+stopping)
	}
	return gateway.Stop{End: s.finish, Elsewhere: serving > 0, Wait: wait}
}

// otherNodes returns how many other nodes accept requests, and how many are stopping.
func (n *Server) otherNodes() (serving, stopping int) {
	for _, p := range n.gossip.Live(clock.Now()) {
		switch {
		case p.Leaving:
			stopping++
		case p.Serving:
			serving++
		}
	}
	return serving, stopping
}

// addressLifetime returns for how long callers may cache this node's answer with addresses: not longer than a node accepts connections after
// it was told to stop.
func (n *Server) addressLifetime() time.Duration {
	accepting := time.Duration(acceptFraction * float64(n.settings.Grace()))
	if accepting == 0 {
		return n.settings.AddressLifetime() // no address is safe for any time
	}
	return min(n.settings.AddressLifetime(), accepting)
}
