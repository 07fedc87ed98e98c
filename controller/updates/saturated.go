package updates

import "time"

// maxInFlightSaturated limits the concurrent update requests at a saturated link: six requests at
// intervals of 125 ms, half of requestInterval, cover a delay of three quarters of a second.
const maxInFlightSaturated = 6

// linkDelay returns the queueing delay at this router's link, and whether the link is saturated.
func (c *Controller) linkDelay() (delay time.Duration, saturated bool) {
	if c.LinkDelay == nil {
		return 0, false
	}
	return c.LinkDelay()
}

// forLink returns the interval between update requests, given the normal one. At a saturated link
// it is shorter by the delay, at least by half, since the delay adds to the age of what arrives.
func (c *Controller) forLink(normal time.Duration) time.Duration {
	delay, saturated := c.linkDelay()
	if !saturated || normal <= catchUpInterval {
		return normal
	}
	return max(min(normal-delay, normal/2), catchUpInterval)
}

// overlaps reports whether the next update request is sent without waiting for the last one: at a
// saturated link the wait would add to the interval. Lists and partial changes are excepted, because
// each concurrent request would return the same ones again.
func (c *Controller) overlaps() bool {
	_, saturated := c.linkDelay()
	return saturated && c.Servers.Ready() && !c.hasMoreChanges()
}

// maxRequests returns the maximum number of concurrent update requests.
func (c *Controller) maxRequests() int {
	if c.overlaps() {
		return maxInFlightSaturated
	}
	return maxInFlight
}
