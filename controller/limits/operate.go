package limits

import "github.com/gaplink/gaplink/clock"

// CommandList is the operators' command that lists the limits in force.
const CommandList = "limit.list"

// Listed is a rate limit as operators see it.
type Listed struct {
	Server string `json:"server"`
	// Started is when the server's process started, in Unix milliseconds; 0 if it does not
	// tell.
	Started int64 `json:"started"`
	// PerSecond is the limit, in requests a second from all routers together.
	PerSecond float64 `json:"per_second"`
	// Owners are the routers that grant permits for the server.
	Owners []string `json:"owners"`
	// NamedSecondsAgo is how long ago the answer was received that named the limit.
	NamedSecondsAgo float64 `json:"named_seconds_ago"`
}

// List returns the limits in force, in the order of the servers' ids.
func (c *Controller) List() []Listed {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []Listed{}
	for _, o := range c.table.Limits() {
		owners, _ := c.sharers(o.Server, o.Rate)
		list = append(list, Listed{
			Server: o.Server.ID, Started: o.Server.Started, PerSecond: float64(o.Rate), Owners: owners,
			NamedSecondsAgo: clock.Since(o.Received).Seconds(),
		})
	}
	return list
}
