package soak

import (
	"time"
)

// poisonRecord is the state that the oracle keeps for the body of a poison request.
type poisonRecord struct {
	crashes      []time.Time
	lateArrivals int // arrivals long enough after the third crash
}

const (
	// crashThreshold is the number of crashed servers after which a poison request must be held
	// back, partThreshold that for requests with a fatal part in their prompts, and maxLateArrivals is how often routers may still
	// send it to servers after that: undisrupted ones, or all.
	crashThreshold  = 3
	partThreshold   = 5
	maxLateArrivals = 3
)

// SetAllLives sets whether the arrivals of poison requests are counted at all routers, also at those that were disrupted.
func (o *Oracle) SetAllLives(count bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.allLives = count
}

// CrashedUnder records that a server crashed while it ran a request with the given body.
func (o *Oracle) CrashedUnder(body string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.poisonRecordOf(body)
	p.crashes = append(p.crashes, at)
}

func (o *Oracle) poisonRecordOf(body string) *poisonRecord {
	if o.poison[body] == nil {
		o.poison[body] = &poisonRecord{}
	}
	return o.poison[body]
}

// checkPoison checks that a request that crashed servers is held back.
func (o *Oracle) checkPoison(b *requestRecord, at time.Time) {
	if b.Poison == "" {
		return
	}
	p, threshold := o.poisonRecordOf(b.Poison), crashThreshold
	if b.Part {
		threshold = partThreshold
	}
	if len(p.crashes) < threshold || !at.After(p.crashes[threshold-1].Add(o.bounds.QuietPeriod)) || !o.allLives && !o.routerUndisrupted(b.Process.Router, at) {
		return
	}
	if p.lateArrivals++; p.lateArrivals > maxLateArrivals {
		o.violate(PoisonHeldBack, b.ID, at, "router %d sent it on, %s after end %d of %d", b.Process.Router, at.Sub(p.crashes[threshold-1]), threshold, len(p.crashes))
	}
}

// checkHeldBack checks that a request refused as poison is one.
func (o *Oracle) checkHeldBack(b *requestRecord) {
	if b.Poison == "" {
		o.violate(OnlyPoisonHeldBack, b.ID, b.answer.At, "router %d holds it back", b.Process.Router)
		return
	}
	o.checked[PoisonHeldBack]++
}
