package poison

import (
	"slices"
	"time"

	"github.com/gaplink/gaplink/placement"
)

// Crash is the crash of a server's process and the requests that ran there, as far as one
// router has recorded them.
type Crash struct {
	Server   placement.Incarnation
	Service  string
	Requests []Fingerprint
	// Parts are the distinct parts of the prompts of the requests, and Holds the indices in Parts of
	// those of each request, in the order of Requests.
	Parts []Part
	Holds [][]byte
	// Age is the time since the crash.
	Age time.Duration
}

// Verdict is the decision to quarantine a request.
type Verdict struct {
	Request Fingerprint
	// Scope is what Request identifies: a request or a part of prompts, and Part is the name of the part.
	Scope Scope
	Part  string
	// Also are further parts that a request must have for the verdict to concern it.
	Also []Fingerprint
	// Number counts the verdicts on the request, from 1. A verdict is void once it, or a later
	// one, was lifted.
	Number int
	// Service is the one whose server crashed last, and Servers are the ids of the servers
	// that crashed while the request ran.
	Service string
	Servers []string
	// Remaining is how much longer the request is quarantined.
	Remaining time.Duration
}

// Lift identifies the verdicts on a request up to a number. In Report.Lifts it voids them.
type Lift struct {
	Request Fingerprint
	Number  int
}

// Run is a successful run of a request, after which its server was still alive.
type Run struct {
	Request Fingerprint
	Service string
}

// Prior is a successful run of a request with a part of prompts before a crash at which the part was.
type Prior struct {
	Part    Fingerprint
	Service string
	// Age is the time since the run.
	Age time.Duration
}

// Report carries what routers propagate to each other. The zero value is empty.
type Report struct {
	Crashes  []Crash
	Runs     []Run
	Verdicts []Verdict
	Lifts    []Lift
	// Trials are requests of which one trial run was just admitted.
	Trials []Fingerprint
	Priors []Prior
	// Stored are processes whose crashes are in the store.
	Stored []placement.Incarnation
	// Kept are verdicts that are in the store.
	Kept []Lift
}

// IsEmpty reports whether a report is empty.
func (r Report) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Runs) == 0 && len(r.Verdicts) == 0 && len(r.Lifts) == 0 && len(r.Trials) == 0 && len(r.Priors) == 0 && len(r.Stored) == 0 && len(r.Kept) == 0
}

// Aged returns the report as of a later time: crashes and successful runs are older by that much, and verdicts
// have less time remaining.
func (r Report) Aged(by time.Duration) Report {
	r.Crashes = slices.Clone(r.Crashes)
	for i := range r.Crashes {
		r.Crashes[i].Age += by
	}
	r.Verdicts = slices.Clone(r.Verdicts)
	for i := range r.Verdicts {
		r.Verdicts[i].Remaining -= by
	}
	r.Priors = slices.Clone(r.Priors)
	for i := range r.Priors {
		r.Priors[i].Age += by
	}
	return r
}

// Add appends the contents of another report.
func (r *Report) Add(other Report) {
	r.Crashes = append(r.Crashes, other.Crashes...)
	r.Runs = append(r.Runs, other.Runs...)
	r.Verdicts = append(r.Verdicts, other.Verdicts...)
	r.Lifts = append(r.Lifts, other.Lifts...)
	r.Trials = append(r.Trials, other.Trials...)
	r.Priors = append(r.Priors, other.Priors...)
	r.Stored = append(r.Stored, other.Stored...)
	r.Kept = append(r.Kept, other.Kept...)
}

// Merged returns a report with the contents of this one followed by those of a later one.
func (r Report) Merged(later Report) Report {
	var merged Report
	merged.Add(r)
	merged.Add(later)
	return merged
}
