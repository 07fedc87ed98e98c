package registry

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

const (
	// speedLogInterval is the minimum time between two log lines about the speed of servers, and
	// maxSpeedsLogged the number of servers that one line names.
	speedLogInterval = time.Second
	maxSpeedsLogged  = 16
)

// SetPredictions sets whether servers are chosen by predicted times for routes with objectives for
// the events of streams.
func (c *Controller) SetPredictions(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.predicts = enabled
}

// RecordFirstEvent records how long a server took to the first event of a stream whose prompt has this
// many tokens that no server had read; 0: unknown.
func (c *Controller) RecordFirstEvent(in placement.Incarnation, tokens int64, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.RecordFirstEvent(clock.Now(), in, tokens, wait)
}

// Choices returns the number of requests by the reason for the choice of their server.
func (c *Controller) Choices() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Choices()
}

// logSpeedChanges logs the servers whose speed class has changed. The caller holds the lock.
func (c *Controller) logSpeedChanges(now time.Time) {
	if now.Sub(c.speedLoggedAt) < speedLogInterval {
		return
	}
	changes, leftOut := c.servers.SpeedChanges(now)
	if len(changes) == 0 {
		return
	}
	c.speedLoggedAt = now
	named := changes[:min(len(changes), maxSpeedsLogged)]
	var slow, normal []string
	for _, change := range named {
		entry := fmt.Sprintf("%s %.2f", change.Server.ID, change.Factor)
		if change.Slow {
			slow = append(slow, entry)
		} else {
			normal = append(normal, entry)
		}
	}
	c.log.Info("speed class of servers changed", zap.Strings("slow", slow), zap.Strings("normal", normal),
		zap.Int("left_out", len(changes)-len(named)+leftOut))
}
