package poison

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// Ending is the end of a server's process and the requests that ran there, as far as
// one router knows them.
type Ending struct {
	Server   placement.Incarnation
	Service  string
	Requests []Fingerprint
	// Ago is how long ago it was.
	Ago time.Duration
}

// Verdict is that a request is held back.
type Verdict struct {
	Request Fingerprint
	// Number counts the verdicts on the request, from 1. A verdict is void once it, or
	// a later one, was lifted.
	Number int
	// Service is where the last server ended, and Servers are the ids of those whose
	// end the request is held to account for.
	Service string
	Servers []string
	// HeldFor is how much longer it holds.
	HeldFor time.Duration
}

// Lifting voids the verdicts on a request up to a number.
type Lifting struct {
	Request Fingerprint
	Number  int
}

// Run is a run of a request that left its server alive.
type Run struct {
	Request Fingerprint
	Service string
}

// Report is what routers tell each other. The zero value tells nothing.
type Report struct {
	Endings  []Ending
	Runs     []Run
	Verdicts []Verdict
	Liftings []Lifting
	// Trials are requests of which one run was let through just now.
	Trials []Fingerprint
}

// IsEmpty tells whether a report tells nothing.
func (r Report) IsEmpty() bool {
	return len(r.Endings) == 0 && len(r.Runs) == 0 && len(r.Verdicts) == 0 && len(r.Liftings) == 0 && len(r.Trials) == 0
}

// Aged returns a report as it is to be told so much later: what happened then is longer
// ago, and verdicts hold for less.
func (r Report) Aged(by time.Duration) Report {
	r.Endings = slices.Clone(r.Endings)
	for i := range r.Endings {
		r.Endings[i].Ago += by
	}
	r.Verdicts = slices.Clone(r.Verdicts)
	for i := range r.Verdicts {
		r.Verdicts[i].HeldFor -= by
	}
	return r
}

// Add puts what another report tells behind what this one does.
func (r *Report) Add(other Report) {
	r.Endings = append(r.Endings, other.Endings...)
	r.Runs = append(r.Runs, other.Runs...)
	r.Verdicts = append(r.Verdicts, other.Verdicts...)
	r.Liftings = append(r.Liftings, other.Liftings...)
	r.Trials = append(r.Trials, other.Trials...)
}

// Merged returns a report that tells what this one does and then what a later one does.
func (r Report) Merged(later Report) Report {
	var merged Report
	merged.Add(r)
	merged.Add(later)
	return merged
}
