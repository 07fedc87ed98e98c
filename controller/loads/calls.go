package loads

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/load"
	"github.com/gaplink/gaplink/peer"
)

// Calls sends messages to the router at an address.
type Calls interface {
	Exchange(ctx context.Context, addr string, req *peer.LoadRequest) (*peer.LoadAnswer, error)
}

// NewPeerCalls returns an implementation of Calls that uses the peer protocol.
func NewPeerCalls(client *peer.Client) Calls { return peerCalls{client} }

type peerCalls struct{ client *peer.Client }

// Exchange implements Calls.
func (p peerCalls) Exchange(ctx context.Context, addr string, req *peer.LoadRequest) (*peer.LoadAnswer, error) {
	return peer.Call[peer.LoadRequest, peer.LoadAnswer](ctx, p.client, addr, peer.MethodLoad, req)
}

// startExchange sends this router's report to a relay and waits until the call ends or hedgeDelay has
// passed. A slow call continues while the next candidate is called.
func (c *Controller) startExchange(ctx context.Context, own load.Report, relays []string) {
	id, ok := c.chooseRelay(relays)
	if !ok {
		return
	}
	select {
	case c.inFlight <- struct{}{}:
	default:
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { <-c.inFlight }()
		c.exchange(ctx, id, own)
	}()
	slow := time.NewTimer(hedgeDelay)
	defer slow.Stop()
	select {
	case <-ended:
	case <-slow.C:
		c.tryNext(id)
	case <-ctx.Done():
	}
}

// chooseRelay returns the relay to report to: the one that answered last, even if another has taken its
// role in the view of this router, or the next candidate.
func (c *Controller) chooseRelay(relays []string) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	candidates := slices.DeleteFunc(slices.Clone(relays), func(id string) bool {
		return id == c.Self || c.isUnsupported(now, id)
	})
	if len(candidates) == 0 {
		c.failures = 0
		return c.relay, c.relay != ""
	}
	preferred := candidates[:min(len(candidates), spreadRelays)]
	if now.Sub(c.returnedAt) >= returnInterval {
		c.returnedAt = now
		if c.relay != preferred[c.preferred%len(preferred)] {
			c.relay, c.nextIndex = "", c.preferred
		}
	}
	switch {
	case c.relay != "":
		return c.relay, true
	case c.failures < maxRetries:
		return preferred[c.nextIndex%len(preferred)], true
	default:
		return candidates[c.nextIndex%len(candidates)], true
	}
}

// isUnsupported reports whether the current process of a router does not share loads. The caller holds the
// lock.
func (c *Controller) isUnsupported(now time.Time, id string) bool {
	u, ok := c.unsupported[id]
	return ok && now.Before(u.until) && u.incarnation == c.Members.Incarnation(id)
}

// tryNext switches to the next candidate after a call of a relay failed.
func (c *Controller) tryNext(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.relay != "" && c.relay != failed {
		return // a later call of another relay has succeeded
	}
	c.relay = ""
	c.nextIndex++
}

// handleDeclined handles the answer of a router that is no relay, or does not answer others yet. While this
// router starts, relays may have started with it, and the same one is called again before the next
// candidate: otherwise most routers would report to the relay that is ready first.
func (c *Controller) handleDeclined(id string) {
	c.mu.Lock()
	calledAgain := c.shared.sentAt.IsZero() && c.failures%maxRetries < maxRetries-1
	if calledAgain {
		c.failures++
	}
	c.mu.Unlock()
	if !calledAgain {
		c.tryNext(id)
	}
}

// exchange reports this router's load to a relay and applies the answer.
func (c *Controller) exchange(ctx context.Context, id string, own load.Report) {
	sentAt := clock.Now()
	req := packRouter(own, c.Domain, sentAt)
	answer, err := c.call(ctx, id, req)
	switch {
	case err != nil:
		c.tryNext(id)
		return
	case answer.NotRelay:
		c.handleDeclined(id)
		return
	}
	received, err := unpackAnswer(answer, c.Domain, sentAt)
	if err != nil {
		c.mu.Lock()
		c.table.DropMalformed()
		c.logDropped(id, 1, err)
		c.mu.Unlock()
		c.tryNext(id)
		return
	}
	c.mu.Lock()
	c.relay, c.failures = id, 0
	c.mu.Unlock()
	c.apply(sentAt, received, exchangeBytes(req, answer))
}

// errOff is returned if a router does not share loads.
var errOff = errors.New("router does not share loads")

// call sends a message to a router and records the outcome.
func (c *Controller) call(ctx context.Context, id string, req *peer.LoadRequest) (*peer.LoadAnswer, error) {
	addr, ok := c.Members.Addr(id)
	if !ok {
		return nil, peer.ErrNotSent
	}
	timeout := callTimeout
	if c.Timeout != nil {
		timeout = c.Timeout(timeout)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := c.Calls.Exchange(callCtx, addr, req)
	if peer.Unimplemented(err) || err == nil && answer.Off {
		c.Members.ReportSuccess(id)
		c.noteUnsupported(id)
		return nil, errOff
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.counts.Failed++
		c.Members.ReportFailure(id, err)
		return nil, err
	}
	c.counts.Answered++
	c.Members.ReportSuccess(id)
	return answer, nil
}

// noteUnsupported records that a router does not share loads.
func (c *Controller) noteUnsupported(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.counts.Unsupported++
	for other, u := range c.unsupported {
		if !now.Before(u.until) {
			delete(c.unsupported, other)
		}
	}
	c.unsupported[id] = unsupported{now.Add(unsupportedRetry), c.Members.Incarnation(id)}
}

// pushSums sends the sums of the routers that this one serves to the relays, and to those that sent their
// sums recently, as relays by their own view. Those to which a call is in progress are left out.
func (c *Controller) pushSums(ctx context.Context, relays []string) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := c.table.Sums(now)
	c.seq++
	sums.From, sums.Process, sums.Seq = c.Self, c.process, c.seq
	req := packRelay(sums, now)
	ids := append(c.table.Relays(), relays...)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if id == c.Self || c.pushing[id] || c.isUnsupported(now, id) {
			continue
		}
		c.pushing[id] = true
		go func() {
			_, _ = c.call(ctx, id, req) // the next round sends newer sums
			c.mu.Lock()
			defer c.mu.Unlock()
			delete(c.pushing, id)
		}()
	}
}

// OnExchange handles the report of a router, which it answers with the load of the others, or the sums of
// another relay.
func (c *Controller) OnExchange(_ context.Context, req *peer.LoadRequest) (*peer.LoadAnswer, error) {
	switch {
	case !c.Switch():
		return &peer.LoadAnswer{Off: true}, nil
	case !c.Large():
		return &peer.LoadAnswer{NotRelay: true}, nil // this router may not know yet how large the fleet is
	}
	now := clock.Now()
	report, err := unpackReport(req, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.table.DropMalformed()
		c.logDropped(req.From, 1, err)
		return &peer.LoadAnswer{}, nil
	}
	if !req.Relay && !c.relaying {
		return &peer.LoadAnswer{NotRelay: true}, nil
	}
	set := c.table.SetRouter
	if req.Relay {
		set = c.table.SetRelay
	}
	if dropped := set(now, report); dropped > 0 {
		c.logDropped(req.From, dropped, nil)
	}
	if req.Relay {
		return &peer.LoadAnswer{}, nil
	}
	return packAnswer(c.table.AnswerFor(now, req.From, domainOf(req), maxAnswerServers), now, req), nil
}

// logDropped logs that figures make no sense, at most once per logInterval. The caller holds c.mu.
func (c *Controller) logDropped(from string, figures int, cause error) {
	if leftOut, allowed := c.dropLog.Allow(clock.Now(), logInterval); allowed {
		c.Log.Warn("server load figures dropped", zap.String("router", from), zap.Int("figures", figures), zap.Int64("lines_left_out", leftOut), zap.Error(cause))
	}
}
