package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

const (
	// holdCheckInterval is the interval at which held requests are checked for room and failed
	// predictions.
	holdCheckInterval = 20 * time.Millisecond
	// minResumeRate is the rate of requests per second that servers are expected to take after a
	// backoff where none was measured: the window there begins with one request for each server.
	minResumeRate = 10
	// heldOverhead is the memory of a held request besides its body: its connection's buffers,
	// headers and goroutine.
	heldOverhead = 16 << 10
)

// holding holds requests until there is room for them. It is safe for concurrent use.
type holding struct {
	// tokensBack reports whether the store answers again.
	tokensBack func() bool

	mu    sync.Mutex
	queue *retryafter.Queue
	// answers has a channel for each held request, which receives whether there is room.
	answers map[*retryafter.Waiter]chan bool
	// checking is set while a goroutine checks the held requests; it ends when there are none.
	checking bool
}

func newHolding(tokensBack func() bool) *holding {
	return &holding{tokensBack: tokensBack, queue: retryafter.NewQueue(), answers: map[*retryafter.Waiter]chan bool{}}
}

// wait holds a request and reports whether there is room for it, and whether it was held at all. predict
// returns when room is predicted, given the number of requests that get it first.
func (h *holding) wait(ctx context.Context, w *retryafter.Waiter, predict func(ahead int) time.Time) (room, held bool) {
	answer := h.hold(w, predict)
	if answer == nil {
		return false, false
	}
	select {
	case room := <-answer:
		return room, true
	case <-ctx.Done():
		h.remove(w, answer)
		return false, true
	}
}

// hold queues a request and returns the channel for its answer; nil if it must be refused.
func (h *holding) hold(w *retryafter.Waiter, predict func(ahead int) time.Time) chan bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.At = predict(h.queue.Ahead(w))
	displaced, ok := h.queue.Hold(clock.Now(), w)
	if !ok {
		return nil
	}
	h.answer(displaced, false)
	answer := make(chan bool, 1)
	h.answers[w] = answer
	if !h.checking {
		h.checking = true
		go h.check()
	}
	return answer
}

// answer tells requests that were taken from the queue whether there is room. The caller holds the
// lock.
func (h *holding) answer(waiters []*retryafter.Waiter, room bool) {
	for _, w := range waiters {
		h.answers[w] <- room
		delete(h.answers, w)
	}
}

// remove withdraws a request. Room that it was given just before goes to the next one.
func (h *holding) remove(w *retryafter.Waiter, answer chan bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.Remove(w)
	delete(h.answers, w)
	select {
	case room := <-answer:
		if room {
			h.answer(h.queue.Release(w.Room, 1), true)
		}
	default:
	}
}

// release gives room for n requests to those that wait for it.
func (h *holding) release(room retryafter.Room, n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer(h.queue.Release(room, n), true)
}

// waits reports whether requests are held for room.
func (h *holding) waits(room retryafter.Room) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue.Waits(room)
}

// refuseAll refuses all held requests.
func (h *holding) refuseAll() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answer(h.queue.All(), false)
}

// check releases and refuses held requests until there are none.
func (h *holding) check() {
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for h.checkOnce(h.tokensBack()) {
		<-ticker.C
	}
}

// checkOnce returns false if no request is held any more.
func (h *holding) checkOnce(tokensBack bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	if tokensBack {
		room := retryafter.Room{Cause: retryafter.Tokens}
		h.answer(h.queue.Release(room, h.queue.Len()), true)
	}
	h.answer(h.queue.Due(now), true)
	h.answer(h.queue.Expired(now), false)
	h.checking = h.queue.Len() > 0
	return h.checking
}

// hold holds a refused request until there is room for it, and reports whether there is. A request is
// held once, and only if no server may have run it. It holds no tokens meanwhile.
func (c *call) hold(ctx context.Context, refusal *result.Error) bool {
	if c.g.holding == nil || c.held || !c.mayHold(refusal) {
		return false
	}
	room, predict := c.predictRoom()
	if predict == nil {
		return false
	}
	w := &retryafter.Waiter{
		Room: room, Timed: c.reason.Wait > 0 && room.Cause == retryafter.Busy,
		Rank: c.returnRank(), Bytes: int64(len(c.body)) + heldOverhead,
		Arrived: c.arrived, Objective: min(c.route.LatencyObjective, c.deadline.Sub(c.arrived)),
	}
	c.releaseTokens()
	begun := clock.Now()
	var waited bool
	c.held, waited = c.g.holding.wait(ctx, w, predict)
	if waited {
		c.heldFor = clock.Since(begun)
		c.g.Metrics.ceasedHolding(room.Cause, c.held)
	}
	return c.held
}

// mayHold reports whether a refused request would be worth holding if room were predicted.
func (c *call) mayHold(refusal *result.Error) bool {
	return refusal == c.temporaryRefusal && !c.refusedAsLimited && !c.mayHaveRun && !c.reply.hasBegun() && !c.g.draining() && c.r.Context().Err() == nil
}

// predictRoom returns what a refused request waits for, and a function that predicts when there is
// room; nil if nothing is predicted.
func (c *call) predictRoom() (retryafter.Room, func(ahead int) time.Time) {
	switch c.reason.Cause {
	case retryafter.Tokens:
		remaining := c.g.StoreRemaining()
		if remaining == 0 {
			return retryafter.Room{}, nil
		}
		at := clock.Now().Add(remaining)
		return retryafter.Room{Cause: retryafter.Tokens}, func(int) time.Time { return at }
	case retryafter.Busy:
		if c.service == nil {
			return retryafter.Room{}, nil
		}
		return retryafter.Room{Cause: retryafter.Busy, Key: c.service.Name}, c.predictServers()
	default:
		return retryafter.Room{}, nil
	}
}

// predictServers returns a function that predicts when a server of the service has room: by the rate at
// which requests of this router end there, and not before the end of a backoff.
func (c *call) predictServers() func(ahead int) time.Time {
	now := clock.Now()
	present, highest := c.g.returns.rates(c.service.Name)
	if c.reason.Wait > 0 {
		// Servers take few requests in the first moment after a backoff; those that are offered too
		// early would have waited in vain.
		pause := perRequest(max(highest, minResumeRate))
		return func(ahead int) time.Time { return now.Add(c.reason.Wait + time.Duration(ahead)*pause) }
	}
	if present <= 0 {
		return nil
	}
	return func(ahead int) time.Time { return now.Add(time.Duration(ahead+1) * perRequest(present)) }
}

// perRequest returns the time between two requests at a rate per second.
func perRequest(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// releaseTokens returns the reserved tokens of a request that has not run.
func (c *call) releaseTokens() {
	if c.reserved == 0 {
		return
	}
	c.g.Budgets.Settle(c.account.Name, c.reserved, 0)
	c.reserved = 0
}

// retryHeld prepares a request that was held after a refusal by servers to be sent again. It returns
// an error if there are no tokens for it.
func (c *call) retryHeld() *result.Error {
	if refusal := c.g.staleRefusal(); refusal != nil {
		return c.temporary(refusal, retryafter.Isolated, 0)
	}
	return c.g.reserve(c)
}

// Held returns the number of requests that are held.
func (g *Gateway) Held() int {
	if g.holding == nil {
		return 0
	}
	g.holding.mu.Lock()
	defer g.holding.mu.Unlock()
	return g.holding.queue.Len()
}
