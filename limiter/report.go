package limiter

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

// Reported is an observation in a form that is independent of the sender's clock.
type Reported struct {
	Server placement.Incarnation
	Named  bool
	Rate   Rate
	// Age is the time since the answer began to arrive, and ResponseTime the time from
	// sending the request until then.
	Age, ResponseTime time.Duration
}

// Report carries the limits of servers from one router to others.
type Report struct{ Observations []Reported }

// NewReport returns the report of one observation.
func NewReport(now time.Time, o Observation) Report {
	return Report{Observations: []Reported{o.reported(now)}}
}

func (o Observation) reported(now time.Time) Reported {
	return Reported{Server: o.Server, Named: o.Named, Rate: o.Rate, Age: now.Sub(o.Received), ResponseTime: o.Received.Sub(o.Sent)}
}

// At returns the observation by the clock of the receiving router.
func (r Reported) At(now time.Time) Observation {
	received := now.Add(-r.Age)
	return Observation{Server: r.Server, Named: r.Named, Rate: r.Rate, Received: received, Sent: received.Add(-r.ResponseTime)}
}

// IsEmpty reports whether a report is empty.
func (r Report) IsEmpty() bool { return len(r.Observations) == 0 }

// Aged returns the report as of a later time.
func (r Report) Aged(by time.Duration) Report {
	aged := Report{Observations: make([]Reported, 0, len(r.Observations))}
	for _, o := range r.Observations {
		o.Age += by
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
				if o.Age <= merged.Observations[at].Age {
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
