package gateway

import (
	"hash/maphash"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

// contentSeed is the seed of the hashes by which requests are recognised when they come back.
var contentSeed = maphash.MakeSeed()

// identifiable reports whether the request can be recognised when its caller sends it again, and whether
// it comes back too early. Requests without a body, such as repeated reads of the same state, may be
// alike though they are different ones. Callers honour a Retry-After for a part of their remaining time,
// which is unknown unless they state it.
func (c *call) identifiable() bool { return c.account != nil && len(c.body) > 0 && c.Deadline > 0 }

// content returns a hash of what a caller sends again unchanged.
func (c *call) content() uint64 {
	var h maphash.Hash
	h.SetSeed(contentSeed)
	_, _ = h.WriteString(c.r.RequestURI) // hashing does not fail
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// checkReturn finds out whether the request comes back before the time that its caller received.
func (g *Gateway) checkReturn(c *call) *result.Error {
	if g.returns != nil && c.identifiable() {
		c.returned = g.returns.arrived(c.account.Name, c.content)
	}
	return nil
}

// limitedRefusal returns an error if the account's callers return too early and servers lack room, so
// that callers who obey get the room first; otherwise nil.
func (c *call) limitedRefusal() *result.Error {
	if !c.returned.Limited || !c.g.roomShort(c.service.Name) {
		return nil
	}
	c.refusedAsLimited = true
	c.g.logLimited(c)
	refusal := result.New(result.NotAccepted, "callers of the account return too early").After(busyRetryAfter)
	return c.temporary(refusal, retryafter.Busy, 0)
}

// limitedLogInterval is the minimum interval between two lines about accounts whose callers return too
// early.
const limitedLogInterval = 5 * time.Second

func (g *Gateway) logLimited(c *call) {
	suppressed, allowed := g.limitedLines.Allow(clock.Now(), limitedLogInterval)
	if !allowed {
		return
	}
	g.Logs.All.Info("account limited for early returns", zap.String("account", c.account.Name), zap.String("service", c.service.Name),
		zap.Int64("lines_left_out", suppressed))
}

// roomShort reports whether requests are held for a service, or were refused just now because its
// servers are busy.
func (g *Gateway) roomShort(service string) bool {
	return g.holding.waits(retryafter.Room{Cause: retryafter.Busy, Key: service}) || g.returns.roomShort(service)
}
