package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

// Reported is an observation for another router, whose clock differs.
type Reported struct {
	Server placement.Incarnation
	Named  bool
	Rate   Rate
	// Ago is how long ago the answer was received, and Took how long before that its
	// request was sent.
	Ago, Took time.Duration
}

// Report is what a router tells others of the limits of servers.
type Report struct{ Observations []Reported }

// NewReport returns the report of one observation.
func NewReport(now time.Time, o Observation) Report {
	return Report{Observations: []Reported{o.reported(now)}}
}

func (o Observation) reported(now time.Time) Reported {
	return Reported{Server: o.Server, Named: o.Named, Rate: o.Rate, Ago: now.Sub(o.Received), Took: o.Received.Sub(o.Sent)}
}

// At returns the observation by the clock of the router that received the report.
func (r Reported) At(now time.Time) Observation {
	received := now.Add(-r.Ago)
	return Observation{Server: r.Server, Named: r.Named, Rate: r.Rate, Received: received, Sent: received.Add(-r.Took)}
}

// IsEmpty tells whether a report holds nothing.
func (r Report) IsEmpty() bool { return len(r.Observations) == 0 }

// Aged returns the report as it reads so much later.
func (r Report) Aged(by time.Duration) Report {
	aged := Report{Observations: make([]Reported, 0, len(r.Observations))}
	for _, o := range r.Observations {
		o.Ago += by
		aged.Observations = append(aged.Observations, o)
	}
	return aged
}

// Merged returns a report that holds the newest observation of each server in two reports.
func (r Report) Merged(other Report) Report {
	index := make(map[placement.Incarnation]int, len(r.Observations)+len(other.Observations))
	var merged Report
	for _, list := range [][]Reported{r.Observations, other.Observations} {
		for _, o := range list {
			if at, ok := index[o.Server]; ok {
				if o.Ago <= merged.Observations[at].Ago {
					merged.Observations[at] = o
				}
				continue
			}
			index[o.Server] = len(merged.Observations)
			merged.Observations = append(merged.Observations, o)
		}
	}
	return merged
}
