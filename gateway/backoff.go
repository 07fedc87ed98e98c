package gateway

import (
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/retryafter"
)

// overloadRefusal returns an error if all servers that could run the request are backing off, or brittle
// without room, or if servers have lent no slot for it; otherwise nil.
func (c *call) overloadRefusal() *result.Error {
	wait, backingOff := c.g.Servers.BackoffWait(c.query(nil))
	switch {
	case backingOff:
	case c.slotDenied:
		wait = busyRetryAfter
	default:
		return nil
	}
	after := c.g.Servers.ReturnAfter(wait, c.urgency())
	refusal := result.New(result.ServersOverloaded, "all servers of %s asked for a backoff, or are brittle and have no room", c.service.Name).After(after)
	return c.temporary(refusal, retryafter.Busy, wait)
}

// urgency returns the priority of the request with that of its account; 0 is the most urgent.
func (c *call) urgency() int {
	if c.account == nil {
		return c.route.Priority
	}
	return c.route.Priority + c.account.Priority
}
