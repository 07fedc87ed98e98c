package table

import (
	"time"
)

// Participant is one router's part in the commit protocol for changes.
//
// A router that has acknowledged a proposal and doesn't learn its outcome within the
// bound accepts no new work on the rows that the change affects. So no router uses an
// old row for longer than the bound after a change is committed, even if it hasn't
// learned the outcome. A Participant is not safe for concurrent use.
type Participant struct {
	state        *State
	pending      *Change
	pendingSince time.Time
	bound        time.Duration
}

// NewParticipant returns a participant with the empty configuration. bound is how long
// an acknowledged change may stay undecided before new work on its rows is blocked.
func NewParticipant(bound time.Duration) *Participant {
	return &Participant{state: NewState(), bound: bound}
}

// State returns the committed configuration. Callers must not change it.
func (p *Participant) State() *State { return p.state }

// Pending returns the revision of the acknowledged but undecided change, or 0 if there
// is none.
func (p *Participant) Pending() int64 {
	if p.pending == nil {
		return 0
	}
	return p.pending.Revision
}

// Prepare acknowledges a proposal. It returns false if the participant lacks the
// preceding revision and must catch up first.
func (p *Participant) Prepare(now time.Time, c Change) bool {
	if c.Revision <= p.state.Revision {
		return true
	}
	if c.Revision != p.state.Revision+1 {
		return false
	}
	if p.pending == nil || p.pending.ID != c.ID {
		p.pending = &c
		p.pendingSince = now
	}
	return true
}

// Decide applies a final log entry. It returns false if the entry is not final or
// doesn't directly follow the current revision. An older or repeated entry changes
// nothing, so the revision never decreases.
func (p *Participant) Decide(c Change) bool {
	if c.Revision != p.state.Revision+1 || c.Status == Proposed {
		return false
	}
	next, err := p.state.Apply(c)
	if err != nil {
		return false
	}
	p.state = next
	p.pending = nil
	return true
}

// Blocked reports whether new work of an account on a target must wait for the outcome
// of a change.
func (p *Participant) Blocked(now time.Time, account, target string) bool {
	if p.pending == nil || now.Sub(p.pendingSince) < p.bound {
		return false
	}
	for _, e := range p.pending.Edits {
		if p.affects(e, account, target) {
			return true
		}
	}
	return false
}

func (p *Participant) affects(e Edit, account, target string) bool {
	switch e.Kind {
	case KindAccount:
		return e.Name == account
	case KindPool:
		old, ok := p.state.Pools[e.Name]
		proposed, err := decode[Pool](e.Value)
		return ok && old.Target == target || err == nil && proposed.Target == target
	default:
		return rowAffects(e.Name, account, target)
	}
}
