package eventstream

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrOrder marks a run of events that cannot be shown to go on where the caller is.
var ErrOrder = errors.New("the events do not go on where the caller is")

// Position is how far a caller has come in a stream, over all the runs that the
// stream is made of. The zero value is the start of a stream.
//
// The ids of events rise. That is what lets a run that begins after a break be
// checked against what the caller has; where ids are missing or are no numbers it
// cannot be, and such a stream cannot go on at another server.
type Position struct {
	lastID string
	// number is that of lastID, if comparable.
	number     int64
	comparable bool
	// step is the distance between ids that follow each other, as long as it has
	// always been the same; 0: not known.
	step   int64
	uneven bool
	// unnamed tells that an event without an id came after the last one with one.
	unnamed bool
	// passed tells that the caller has got events in this answer.
	passed bool
}

// After returns the position of a caller that names the last event it has; an empty
// id is the start.
func After(lastID string) Position {
	n, ok := number(lastID)
	return Position{lastID: lastID, number: n, comparable: ok}
}

// LastID returns the id of the last event that has one; empty if none has.
func (p *Position) LastID() string { return p.lastID }

// Resumable tells whether another run can be joined: nothing was passed on yet, or
// the last event can be compared with those of another run.
func (p *Position) Resumable() bool { return !p.passed || p.comparable && !p.unnamed }

// number reads an id; ok is false for what is no whole number of 0 or more.
func number(id string) (n int64, ok bool) {
	n, err := strconv.ParseInt(id, 10, 64)
	return n, err == nil && n >= 0
}

// placement is what to do with an event of a run.
type placement int

const (
	pass placement = iota
	drop
)

// place tells what to do with a run's next event, and moves the position past it if
// it is passed on. run is the run's own state.
func (p *Position) place(e event, r *run) (placement, error) {
	switch {
	case e.isControl():
		return pass, nil
	case !e.named:
		return p.placeUnnamed(r)
	}
	n, ok := number(e.id)
	if !ok || !p.comparable {
		return p.placeOpaque(e.id, n, ok, r)
	}
	return p.placeNumbered(e.id, n, r)
}

// placeUnnamed places an event without an id. Whether the caller has it already
// cannot be told at the beginning of a run that is to be joined.
func (p *Position) placeUnnamed(r *run) (placement, error) {
	if !r.joined {
		return drop, fmt.Errorf("%w: an event without an id after %q", ErrOrder, p.lastID)
	}
	p.passed = true
	p.unnamed = true
	return pass, nil
}

// placeOpaque places an event where it or the last one has no number.
func (p *Position) placeOpaque(id string, n int64, numbered bool, r *run) (placement, error) {
	if !r.joined {
		return drop, fmt.Errorf("%w: %q cannot be compared with %q", ErrOrder, id, p.lastID)
	}
	p.lastID, p.number, p.comparable, p.unnamed = id, n, numbered, false
	p.step, p.uneven = 0, false
	p.passed, r.passed = true, true
	return pass, nil
}

// placeNumbered places an event whose number can be compared with the last one's. A
// run may begin with events that the caller has; they are left out.
func (p *Position) placeNumbered(id string, n int64, r *run) (placement, error) {
	step := n - p.number
	switch {
	case step <= 0 && !r.passed:
		r.repeated = n
		r.repeats = true
		return drop, nil
	case step <= 0:
		return drop, fmt.Errorf("%w: %d after %d", ErrOrder, n, p.number)
	case !r.joined && !p.meets(r) && !p.follows(step):
		return drop, fmt.Errorf("%w: %d after %d, with a distance of %d", ErrOrder, n, p.number, p.step)
	}
	if p.passed {
		p.learn(step) // what a caller has from before is no sign of a distance
	}
	p.lastID, p.number, p.unnamed = id, n, false
	p.passed, r.passed, r.joined = true, true, true
	return pass, nil
}

// meets tells whether a run has repeated the last event that the caller has.
func (p *Position) meets(r *run) bool { return r.repeats && r.repeated == p.number }

// follows tells whether an id so far behind the last one is the next: all distances
// have been the same. After a single event none is known, and only the next whole
// number is sure to follow.
func (p *Position) follows(step int64) bool { return !p.uneven && step == max(p.step, 1) }

// learn notes the distance between two ids.
func (p *Position) learn(step int64) {
	switch {
	case p.uneven:
	case p.step == 0:
		p.step = step
	case p.step != step:
		p.step, p.uneven = 0, true
	}
}

// run is the state of one run of events.
type run struct {
	// joined tells that the run goes on where the caller is, or is the first.
	joined bool
	// passed tells that an event of the run with an id was passed on.
	passed bool
	// repeated is the number of the last event that the caller had already, if the run
	// repeats any.
	repeated int64
	repeats  bool
}

// end tells whether the run, which is over, is one with what the caller has. One
// that brought nothing new and only repeated events must have come as far as the
// caller is. One that was to be joined must have shown an event: without any it does
// not show that the stream was over there, and its server may have failed as well.
func (p *Position) end(r *run) error {
	if r.passed || p.meets(r) || r.joined && !r.repeats {
		return nil
	}
	return fmt.Errorf("%w: the run ended and did not show event %d", ErrOrder, p.number)
}
