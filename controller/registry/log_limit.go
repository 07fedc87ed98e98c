package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

const (
	// maxLinesPerWindow is the maximum number of log lines about servers within lineWindow:
	// thousands of servers register when a large fleet starts.
	maxLinesPerWindow = 20
	lineWindow        = 5 * time.Second
)

// lineLimiter limits the rate of log lines about servers that register or deregister.
type lineLimiter struct {
	// windowStart is when the current window began, and attempted the number of lines since
	// then, including suppressed ones.
	windowStart time.Time
	attempted   int
	// suppressed is the number of suppressed lines since reportedAt.
	suppressed int
	reportedAt time.Time
}

// allow reports whether a line may be written, and counts the suppressed ones.
func (n *lineLimiter) allow(now time.Time) bool {
	if now.Sub(n.windowStart) >= lineWindow {
		n.windowStart, n.attempted = now, 0
	}
	n.attempted++
	if n.attempted <= maxLinesPerWindow {
		return true
	}
	n.suppressed++
	return false
}

// takeSuppressed returns the number of suppressed lines and resets it, at most once per
// lineWindow. It returns 0 if there is nothing to report.
func (n *lineLimiter) takeSuppressed(now time.Time) int {
	if n.suppressed == 0 || now.Sub(n.reportedAt) < lineWindow {
		return 0
	}
	leftOut := n.suppressed
	n.suppressed, n.reportedAt = 0, now
	return leftOut
}

// logRegistered logs a registration of a new process or of one that begins to leave. A process
// that is leaving stays so, whatever its later registrations say.
func (c *Controller) logRegistered(s placement.Server, version int64) {
	old, known := c.servers.Get(s.ID)
	if known && (old.Leaving || !s.Leaving) && old.Incarnation() == s.Incarnation() {
		return
	}
	if !c.lines.allow(clock.Now()) {
		return
	}
	c.log.Info("server registered",
		zap.String("server", s.ID), zap.Int64("started", s.Started), zap.String("service", s.Service), zap.String("software", s.Version), zap.String("address", s.Address),
		zap.Bool("leaving", s.Leaving), zap.Int64("version", version))
}

// logGone logs that a server is no longer registered.
func (c *Controller) logGone(id string) {
	if c.lines.allow(clock.Now()) {
		c.log.Info("server gone", zap.String("server", id))
	}
}

// logSuppressed logs the number of servers that registered or deregistered without a log line.
func (c *Controller) logSuppressed() {
	if leftOut := c.lines.takeSuppressed(clock.Now()); leftOut > 0 {
		c.log.Info("further servers registered or gone", zap.Int("servers", leftOut), zap.Int("known", len(c.entries)))
	}
}
