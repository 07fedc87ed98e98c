package news

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/peer"
)

// This file takes the answers of other routers.

// takeReports takes what a router tells of requests that end servers and of rate limits,
// whether or not it has news from the store.
func (c *Controller) takeReports(answer *peer.NewsAnswer) {
	c.Verdicts.Receive(answer.Verdicts)
	c.Limits.Receive(answer.Limits)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportSource, c.verdictSeq, c.limitSeq = "", answer.VerdictSeq, answer.LimitSeq
	if answer.VerdictSeq > 0 || answer.LimitSeq > 0 { // empty logs need not be named
		c.reportSource = answer.Source
	}
}

// failed turns to the next router.
func (c *Controller) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.teller = ""
	c.told = false
}

// turnTo asks a router next that another one has its news from.
func (c *Controller) turnTo(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.teller = id
}

// noteLost notes that the store does not answer a router that watches it.
func (c *Controller) noteLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = clock.Now()
}

// take takes the answer of a router to a question that was asked at a moment.
func (c *Controller) take(ctx context.Context, id string, answer *peer.NewsAnswer, asked time.Time) {
	newer := answer.Config > c.Configs.Version()
	if newer {
		c.fetchOnce(ctx, id)
	}
	believed := answer.Direct || !c.passesOn()
	switch {
	case answer.Current && !believed && answer.Origin != c.Members.Self().ID:
		c.turnTo(answer.Origin)
		return
	case !answer.Current || !believed:
		if answer.Lost && believed {
			c.noteLost()
		}
		c.failed()
		return
	}
	if !c.Heard() && !c.Fresh() {
		c.Servers.Regained()
	}
	c.Evacuations.Take(answer.Emptied, answer.EmptiedAt, id)
	if err := c.takeServers(answer); err != nil {
		c.Log.Error("list of registrations is not readable", zap.String("router", id), zap.Error(err))
		c.failed()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.seq, c.revision = answer.Source, answer.Seq, answer.Revision
	c.current, c.teller, c.origin = clock.Now(), id, answer.Origin
	told := momentsOf(answer.Ages, asked)
	if newer {
		told.Config = time.Time{} // it is being fetched
	}
	c.asOf = c.asOf.or(told)
	if !c.told {
		c.told = true
		c.Log.Info("news through another router", zap.String("router", id), zap.String("origin", answer.Origin), zap.Int64("revision", answer.Revision))
	}
}

// fetchOnce fetches the configuration of another router in the background,
// unless that is under way already.
func (c *Controller) fetchOnce(ctx context.Context, id string) {
	if !c.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.fetching.Store(false)
		if err := c.fetch(ctx, id); err != nil {
			c.Log.Info("configuration not fetched", zap.String("router", id), zap.Error(err))
			c.failed()
		}
	}()
}

func (c *Controller) fetch(ctx context.Context, id string) error {
	addr, ok := c.Members.Addr(id)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := c.Calls.Config(ctx, addr)
	if err != nil {
		return err
	}
	return c.Configs.TakePacked(answer.Packed, id)
}
