package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/logs"
	"github.com/gaplink/gaplink/placement"
)

const (
	// stillRegisteredAfter is how long a server may be registered as ready after it has announced
	// in a response that it is leaving before this is logged as a contradiction: far longer than
	// an orderly shutdown takes.
	stillRegisteredAfter = time.Minute
	// departingLogInterval is the minimum time between two log lines of the same kind about
	// servers that are leaving.
	departingLogInterval = 100 * time.Millisecond
)

// departing limits the log lines about servers that are leaving, and the checks for them.
type departing struct {
	checkedAt        time.Time
	lines, conflicts logs.RateLimit
}

// AnnouncedLeaving records that a process announced in a response that it is leaving. It gets no
// new requests from this router, whatever its registration says.
func (c *Controller) AnnouncedLeaving(in placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if !c.servers.Leave(now, in) {
		return
	}
	if leftOut, allowed := c.departing.lines.Allow(now, departingLogInterval); allowed {
		c.log.Info("server announced that it is leaving", zap.String("server", in.ID), zap.Int64("started", in.Started),
			zap.Bool("registered", c.servers.IsRegistered(in)), zap.Int64("lines_left_out", leftOut))
	}
}

// Replaced records that another server now answers at the address of this one.
func (c *Controller) Replaced(in placement.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers.Leave(clock.Now(), in)
	c.log.Info("server replaced at its address", zap.String("server", in.ID), zap.Int64("started", in.Started))
}

// checkReports drops expired reports of processes, at most once per reportCheckInterval, and logs
// the servers whose registration contradicts their responses. The caller holds the lock.
func (c *Controller) checkReports(now time.Time) {
	if now.Sub(c.departing.checkedAt) < reportCheckInterval {
		return
	}
	c.departing.checkedAt = now
	c.servers.ExpireReports(now, reportTTL)
	for _, d := range c.servers.Departures() {
		if d.RegisteredReady && now.Sub(d.Since) > stillRegisteredAfter {
			c.logConflict(now, d)
		}
	}
}

func (c *Controller) logConflict(now time.Time, d placement.Departure) {
	if leftOut, allowed := c.departing.conflicts.Allow(now, departingLogInterval); allowed {
		c.log.Warn("server announced that it is leaving, but its registration says that it is ready; it gets no requests",
			zap.String("server", d.ID), zap.Int64("started", d.Started), zap.Duration("announced_ms_ago", now.Sub(d.Since)), zap.Int64("lines_left_out", leftOut))
	}
}

// Departures returns the number of registered servers that announced in responses that they are
// leaving, or whose address another server has taken.
func (c *Controller) Departures() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.servers.Departures())
}
