package verdicts

import (
	"context"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/poison"
)

// queuedEnds bounds the ends that wait for a router: 64 KB with 64 requests at each.
const queuedEnds = 64

// newSpreader returns what propagates this controller's reports.
func (c *Controller) newSpreader() *spread.Spreader[poison.Report] {
	o := spread.Options[poison.Report]{
		Receive: c.Receive,
		Snapshot: func() poison.Report {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.table.Snapshot(clock.Now())
		},
		Trim: trimEnds,
		What: "poison requests",
		Log:  c.Log,
	}
	if c.Fleet != nil {
		o.Fleet = fleet{c.Fleet}
	}
	return spread.New(o)
}

// trimEnds bounds the ends in a report.
func trimEnds(r poison.Report) poison.Report {
	if over := len(r.Endings) - queuedEnds; over > 0 {
		r.Endings = r.Endings[over:]
	}
	return r
}

// fleet is a Fleet for a spreader.
type fleet struct{ Fleet }

// Report implements spread.Fleet.
func (f fleet) Report(ctx context.Context, id string, r poison.Report, all bool) (poison.Report, error) {
	answer, err := f.Fleet.Report(ctx, id, &peer.VerdictsRequest{Report: r, All: all})
	if err != nil {
		return poison.Report{}, err
	}
	return answer.Report, nil
}

// Since returns what this router has learnt after number seq of its log, and the
// number of the last entry. Without that part of the log it is all that it knows.
func (c *Controller) Since(seq int64) (poison.Report, int64) { return c.spread.Since(seq) }

// OnReport answers another router: it takes its report, and returns all that is known here
// if it asks for that.
func (c *Controller) OnReport(_ context.Context, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error) {
	c.Receive(req.Report)
	if !req.All {
		return &peer.VerdictsAnswer{}, nil
	}
	return &peer.VerdictsAnswer{Report: c.spread.Snapshot()}, nil
}

// Receive takes the report of another router.
func (c *Controller) Receive(r poison.Report) {
	if !r.IsEmpty() {
		c.take(r, origin{name: "another router"})
	}
}
