package eventstream

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrOutOfOrder marks events that cannot be shown to continue at the caller's position.
var ErrOutOfOrder = errors.New("events do not continue at the caller's position")

// Position is a caller's position in a stream, across all segments of which the stream
// consists. The zero value is the start of a stream.
//
// Event ids increase, so a segment that begins after an interruption can be checked against
// the events that the caller has. Where ids are missing or not numeric this is impossible, and
// such a stream cannot be resumed at another server.
type Position struct {
	lastID string
	// number is the value of lastID, valid if numeric is set.
	number  int64
	numeric bool
	// step is the distance between consecutive ids while it has always been the same; 0:
	// unknown. unevenSteps reports that distances differed.
	step        int64
	unevenSteps bool
	// lastHasNoID reports that an event without an id followed the last one with an id.
	lastHasNoID bool
	// forwarded reports that events were forwarded to the caller in this response.
	forwarded bool
}

// PositionAfter returns the position of a caller that has received events up to lastID; an empty
// id is the start of the stream.
func PositionAfter(lastID string) Position {
	n, ok := parseNumber(lastID)
	return Position{lastID: lastID, number: n, numeric: ok}
}

// LastID returns the id of the last event that has one; empty if none has.
func (p *Position) LastID() string { return p.lastID }

// Resumable reports whether another segment can be joined: nothing was forwarded yet, or the
// last event can be compared with those of another segment.
func (p *Position) Resumable() bool { return !p.forwarded || p.numeric && !p.lastHasNoID }

// parseNumber parses an id; ok is false unless the id is an integer of 0 or more.
func parseNumber(id string) (n int64, ok bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}

// action is what to do with an event of a segment.
type action int

const (
	forward action = iota
	drop
)

// accept decides what to do with a segment's next event and advances the position if the event
// is forwarded.
func (p *Position) accept(e event, s *segment) (action, error) {
	switch {
	case e.isControl():
		return forward, nil
	case !e.hasID:
		return p.acceptWithoutID(s)
	}
	n, ok := parseNumber(e.id)
	if !ok || !p.numeric {
		return p.acceptOpaque(e.id, n, ok, s)
	}
	return p.acceptNumbered(e.id, n, s)
}

// acceptWithoutID handles an event without an id. At the start of a segment that is to be
// joined it cannot be decided whether the caller already has it.
func (p *Position) acceptWithoutID(s *segment) (action, error) {
	if !s.continues {
		return drop, fmt.Errorf("%w: an event without an id after %q", ErrOutOfOrder, p.lastID)
	}
	p.forwarded = true
	p.lastHasNoID = true
	return forward, nil
}

// acceptOpaque handles an event when its id or the last one is not numeric.
func (p *Position) acceptOpaque(id string, n int64, numbered bool, s *segment) (action, error) {
	if !s.continues {
		return drop, fmt.Errorf("%w: %q cannot be compared with %q", ErrOutOfOrder, id, p.lastID)
	}
	p.lastID, p.number, p.numeric, p.lastHasNoID = id, n, numbered, false
	p.step, p.unevenSteps = 0, false
	p.forwarded, s.forwarded = true, true
	return forward, nil
}

// acceptNumbered handles an event whose id can be compared with the last one. A segment may
// begin with events that the caller has; they are dropped.
func (p *Position) acceptNumbered(id string, n int64, s *segment) (action, error) {
	step := n - p.number
	switch {
	case step <= 0 && !s.forwarded:
		s.lastRepeated = n
		s.repeats = true
		return drop, nil
	case step <= 0:
		return drop, fmt.Errorf("%w: %d after %d", ErrOutOfOrder, n, p.number)
	case !s.continues && !p.repeatsLast(s) && !p.isNext(step):
		return drop, fmt.Errorf("%w: %d after %d, with an id step of %d", ErrOutOfOrder, n, p.number, p.step)
	}
	if p.forwarded {
		p.recordStep(step) // an id from an earlier response says nothing about the step
	}
	p.lastID, p.number, p.lastHasNoID = id, n, false
	p.forwarded, s.forwarded, s.continues = true, true, true
	return forward, nil
}

// repeatsLast reports whether the segment has repeated the last event that the caller has.
func (p *Position) repeatsLast(s *segment) bool { return s.repeats && s.lastRepeated == p.number }

// isNext reports whether an id at this distance from the last one is the next: all distances
// so far were the same. After a single event no distance is known, and only the next integer
// is certain to follow.
func (p *Position) isNext(step int64) bool { return !p.unevenSteps && step == max(p.step, 1) }

// recordStep records the distance between two consecutive ids.
func (p *Position) recordStep(step int64) {
	switch {
	case p.unevenSteps:
	case p.step == 0:
		p.step = step
	case p.step != step:
		p.step, p.unevenSteps = 0, true
	}
}

// segment is the state of one segment of a stream: the events that one server sends.
type segment struct {
	// continues reports that the segment has joined at the caller's position, or is the first.
	continues bool
	// forwarded reports that an event of the segment with an id was forwarded.
	forwarded bool
	// lastRepeated is the number of the last event that the caller already had; valid if
	// repeats is set.
	lastRepeated int64
	repeats      bool
}

// end returns an error unless the ended segment completes the caller's stream. A segment that
// only repeated events must have reached the caller's position. A segment that was to be
// joined must have sent an event: without any it does not show that the stream was complete at
// that position, and its server may have failed as well.
func (p *Position) end(s *segment) error {
	if s.forwarded || p.repeatsLast(s) || s.continues && !s.repeats {
		return nil
	}
	return fmt.Errorf("%w: the segment ended without including event %d", ErrOutOfOrder, p.number)
}
