package limits

import "github.com/gaplink/gaplink/clock"

// CommandList is the operator command that lists the limits in force.
const CommandList = "limit.list"

// Listed is a rate limit as shown to operators.
type Listed struct {
	Server string `json:"server"`
	// Started is when the server's process started, in Unix milliseconds; 0 if the server does
	// not report it.
	Started int64 `json:"started"`
	// PerSecond is the limit, in requests a second from all routers together.
	PerSecond float64 `json:"per_second"`
	// Owners are the routers that grant permits for the server.
	Owners []string `json:"owners"`
	// NamedSecondsAgo is the time since the answer that named the limit began to arrive.
	NamedSecondsAgo float64 `json:"named_seconds_ago"`
}

// List returns the limits in force, ordered by server id.
func (c *Controller) List() []Listed {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []Listed{}
	for _, o := range c.table.Limits() {
		owners, _ := c.rateOwners(o.Server, o.Rate)
		list = append(list, Listed{
			Server: o.Server.ID, Started: o.Server.Started, PerSecond: float64(o.Rate), Owners: owners,
			NamedSecondsAgo: clock.Since(o.Received).Seconds(),
		})
	}
	return list
}
