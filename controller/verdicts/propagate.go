package verdicts

import (
	"context"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/spread"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/poison"
)

// maxQueuedCrashes bounds the crashes queued for a router: 64 KB with 64 requests each.
const maxQueuedCrashes = 64

// newSpreader returns the spreader that propagates this controller's reports.
func (c *Controller) newSpreader() *spread.Spreader[poison.Report] {
	o := spread.Options[poison.Report]{
		Receive: c.Receive,
		Snapshot: func() poison.Report {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.table.Snapshot(clock.Now())
		},
		Trim:     trimCrashes,
		Informed: c.Informed,
		Name:     "poison requests",
		Log:      c.Log,
	}
	if c.Fleet != nil {
		o.Fleet = spreadFleet{c.Fleet}
	}
	return spread.New(o)
}

// trimCrashes drops the crashes of a report beyond maxQueuedCrashes: a snapshot, which has those that say most, replaces
// them.
func trimCrashes(r poison.Report) (trimmed poison.Report, dropped bool) {
	if len(r.Crashes) <= maxQueuedCrashes {
		return r, false
	}
	r.Crashes = nil
	return r, true
}

// spreadFleet adapts a Fleet to spread.Fleet.
type spreadFleet struct{ Fleet }

// Report implements spread.Fleet.
func (f spreadFleet) Report(ctx context.Context, id string, r poison.Report, all bool) (poison.Report, error) {
	answer, err := f.Fleet.Report(ctx, id, &peer.VerdictsRequest{Report: r, All: all})
	switch {
	case err != nil:
		return poison.Report{}, err
	case answer.Incomplete:
		return answer.Report, spread.ErrIncomplete
	default:
		return answer.Report, nil
	}
}

// Since returns what this router has learnt after number seq of its log, and the number of the
// last entry. If the log no longer reaches back to seq, it returns a snapshot instead.
func (c *Controller) Since(seq int64) (poison.Report, int64) { return c.spread.Since(seq) }

// OnReport handles a report of another router, and returns a snapshot if the request asks for
// all.
func (c *Controller) OnReport(_ context.Context, req *peer.VerdictsRequest) (*peer.VerdictsAnswer, error) {
	c.Receive(req.Report)
	if !req.All {
		return &peer.VerdictsAnswer{}, nil
	}
	return &peer.VerdictsAnswer{Report: c.spread.Snapshot(), Incomplete: !c.spread.IsComplete()}, nil
}

// Receive applies a report of another router.
func (c *Controller) Receive(r poison.Report) {
	if !r.IsEmpty() {
		c.apply(r, origin{name: "another router"})
	}
}
