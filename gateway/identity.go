package gateway

import (
	"strings"

	"github.com/gaplink/gaplink/controller/verdicts"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/result"
)

// poisonStatus returns the crash detection of the request, which tracks whether servers crash
// while running it (a poison request).
func (c *call) poisonStatus() *verdicts.Request {
	if c.cachedPoisonStatus == nil {
		c.cachedPoisonStatus = c.g.Verdicts.Request(c.identity)
	}
	return c.cachedPoisonStatus
}

// identity returns the properties by which repeats of the request are recognized.
func (c *call) identity() poison.Identity {
	id := poison.Identity{Method: c.r.Method, Host: strings.ToLower(c.r.Host), Target: c.r.RequestURI, Body: c.body, Parts: c.sharedParts()}
	if c.account != nil {
		id.Account = c.account.Name
	}
	return id
}

// maxLoggedParts bounds the parts of a prompt that a log line names.
const maxLoggedParts = 8

// sharedParts returns the IDs of the parts of the prompt that may be shared with other requests.
func (c *call) sharedParts() (ids []string) {
	for _, p := range c.Prefix[:max(len(c.Prefix)-1, 0)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// partsForLog returns the parts of the prompt that a log line names.
func (c *call) partsForLog() []string {
	ids := c.sharedParts()
	return ids[:min(len(ids), maxLoggedParts)]
}

// checkPoison refuses a request that is known to crash servers.
func (g *Gateway) checkPoison(c *call) *result.Error { return c.poisonStatus().Refusal() }

// admitRun refuses a request that has come to be known to crash servers since it arrived, before it is sent to one.
func (c *call) admitRun() *result.Error {
	refusal := c.poisonStatus().Admit()
	if refusal == nil || !c.mayHaveRun {
		return refusal
	}
	return result.New(result.BackendCut, "the server did not answer whole").Wrap(refusal)
}
