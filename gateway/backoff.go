package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/gaplink/gaplink/result"
)

const (
	// Callers that are refused because all servers are backing off are told to come back at the
	// end of the first backoff, and from then on in steps of returnStep by priority, the most
	// urgent first, spread over a step. Priorities beyond maxReturnSteps share the last step.
	returnStep     = 250 * time.Millisecond
	maxReturnSteps = 3
)

// overloadRefusal returns an error if all servers that could run the request have asked for a
// backoff, or nil.
func (c *call) overloadRefusal() *result.Error {
	wait, backingOff := c.g.Servers.BackoffWait(c.query(nil))
	if !backingOff {
		return nil
	}
	return result.New(result.ServersOverloaded, "all servers of %s asked for a backoff", c.service.Name).After(wait + c.returnDelay())
}

// returnDelay returns how much later than the first possible time a refused caller should return.
func (c *call) returnDelay() time.Duration {
	step := c.route.Priority
	if c.account != nil {
		step += c.account.Priority
	}
	return time.Duration(min(max(step, 0), maxReturnSteps))*returnStep + rand.N(returnStep)
}
