package gateway

import (
	"fmt"
	"strconv"

	"moorrun.dev/moorrun/internal/verdict"
)

var (
	// errNoEventID means that an event of a stream that may be resumed has no ID to resume after.
	errNoEventID = fmt.Errorf("%w: an event of a resumable stream has no ID", ErrNoAnswer)
	// errTooManyEvents means that a stream has more events than its answer may have tokens.
	errTooManyEvents = fmt.Errorf("%w: the stream has more events than the answer may have tokens", ErrNoAnswer)
	// errEventOrder means that the ID of an event does not follow that of the event before it.
	errEventOrder = fmt.Errorf("%w: the ID of an event does not follow that of the one before it", ErrNoAnswer)
)

// eventOrder checks that a stream's events can be those of an answer.
type eventOrder struct {
	required bool   // each event must have an ID
	last     string // ID of the last event; empty if none had one
	most     int    // how many events there may be, over all attempts of the request; zero if unknown
	count    int    // how many there have been
}

// next returns an error, with the verdict MayHaveRun, if an event with the given ID cannot be the next one of the stream.
func (o *eventOrder) next(id string) error {
	o.count++
	switch {
	case o.most > 0 && o.count > o.most:
		return verdict.New(verdict.MayHaveRun, errTooManyEvents)
	case id == "" && o.required:
		return verdict.New(verdict.MayHaveRun, errNoEventID)
	case id == "":
		return nil
	case o.last != "" && !follows(id, o.last):
		return verdict.New(verdict.MayHaveRun, errEventOrder)
	}
	o.last = id
	return nil
}

// follows reports whether an ID may come after another: numbers rise, and others differ.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	before, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return n > before
}
