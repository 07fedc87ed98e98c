package verdicts

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
)

// claimTimeout bounds the wait of a request for its claim to the trial run.
const claimTimeout = 500 * time.Millisecond

// errClaimed is returned if another router has claimed the trial run.
var errClaimed = errors.New("another router has claimed the trial run")

// admitTrials claims trial runs for a request, after the quarantines of the request and of parts of its prompt. One router
// of the fleet may claim each. If one is not claimed, the request is refused.
func (c *Controller) admitTrials(trials []poison.Fingerprint, request poison.Fingerprint, parts []poison.Part) (v poison.Verdict, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	for _, f := range trials {
		err := c.claimTrial(ctx, f)
		if err == nil {
			continue
		}
		c.Log.Info("trial run not claimed", zap.Stringer("fingerprint", f), zap.Error(err))
		c.mu.Lock()
		defer c.mu.Unlock()
		v, _ = c.table.Held(clock.Now(), request, parts)
		return v, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Trials++
	c.Log.Info("held back no more: one run is let through", zap.Stringers("fingerprints", trials))
	return poison.Verdict{}, false
}

// claimTrial claims the trial run of a request or part by writing its next verdict to the store, under the condition that no other
// router did, before the run: if the run crashes its server, or this process and all others end before they know,
// the quarantine is in force already. A successful run lifts it.
func (c *Controller) claimTrial(ctx context.Context, f poison.Fingerprint) error {
	c.mu.Lock()
	next := c.table.NextVerdict(clock.Now(), f)
	c.mu.Unlock()
	if c.Store != nil {
		if err := c.writeClaim(ctx, next); err != nil {
			return err
		}
	}
	c.apply(poison.Report{Verdicts: []poison.Verdict{next}, Trials: []poison.Fingerprint{f}}, origin{name: "trial run claimed", local: true, stored: true})
	return nil
}

// writeClaim writes a verdict to the store unless there is one of the same or a higher number there.
func (c *Controller) writeClaim(ctx context.Context, next poison.Verdict) error {
	value, err := encodeVerdict(next, clock.Now().Add(next.Remaining))
	if err != nil {
		return err
	}
	kept, isKept, err := c.replace(ctx, next, value)
	switch {
	case errors.Is(err, store.ErrNotFound):
		_, err = c.Store.Create(ctx, storeKey(next.Request), value)
		return err
	case isKept:
		c.apply(poison.Report{Verdicts: []poison.Verdict{kept}}, origin{name: "store"})
		return errClaimed
	default:
		return err
	}
}
