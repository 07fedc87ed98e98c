package budget

import "time"

// The monotonic clock proves the age of an escrow entry only if it has run without a reset
// since the write. After a power loss it restarts, in some environments under the same
// boot ID, and a far older entry looks recent: its tokens would be issued twice. The wall
// clock reveals this: it is then ahead of the monotonic clock by the machine's uptime
// before the loss plus the time without power, however many losses there were. The wall
// clock may be adjusted by seconds in the meantime, so the comparison is conclusive only
// for machines whose uptime at the write was longer than that.
//
// Letting the first process that sees an entry ahead of its clock close the entry is not
// enough: that process may die before it writes, and a machine may be without its router
// until the clock has passed the entry.
const (
	// maxClockDifference is how far the two clocks may differ over the age of an entry.
	// They are read one after the other, by a process that may be descheduled in between;
	// an entry is useful for some seconds, in which they drift by milliseconds.
	maxClockDifference = 500 * time.Millisecond
	// maxClockStep is how far the wall clock may be adjusted, in total, between a write
	// and the next start. Synchronized clocks are adjusted by some seconds at most.
	maxClockStep = 15 * time.Second
	// minUptime is the smallest uptime at a write for which a clock restart can be
	// detected. Tokens in escrow on machines with a shorter uptime are lost with their
	// routers.
	minUptime = maxClockStep + maxClockDifference
)

// entryAge is the time from the write of an entry to the start of this process, by both
// clocks of the machine.
type entryAge struct{ monotonic, wallClock time.Duration }

// ageAtStart returns the age of an entry when this process started.
func (a *Agent) ageAtStart(e Escrow) entryAge {
	return entryAge{
		monotonic: a.cfg.Uptime(a.cfg.Started) - time.Duration(e.At),
		wallClock: time.Duration(a.cfg.StartedWallClock.UnixNano() - e.WallClock),
	}
}

// proven reports whether the monotonic clock has run without a restart since the entry was
// written.
func (age entryAge) proven(e Escrow) bool {
	difference := (age.wallClock - age.monotonic).Abs()
	return e.WallClock != 0 && time.Duration(e.At) >= minUptime && difference <= maxClockDifference
}

// tokens returns the tokens in escrow when the entry was written, by budget.
func (e Escrow) tokens() map[string]int64 {
	tokens := make(map[string]int64, len(e.Parts))
	for id, part := range e.Parts {
		tokens[id] = part.Tokens
	}
	return tokens
}
