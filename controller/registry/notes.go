package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
)

const (
	// notesEach bounds the lines about servers within notesSpan: at the start of a large fleet
	// thousands register.
	notesEach = 20
	notesSpan = 5 * time.Second
)

// notes bounds the lines about servers that register and go.
type notes struct {
	// begun is when the present span began, and written the lines since.
	begun   time.Time
	written int
	// leftOut counts the servers without a line since summedAt.
	leftOut  int
	summedAt time.Time
}

// may tells whether a line may be written, and counts those that may not.
func (n *notes) may(now time.Time) bool {
	if now.Sub(n.begun) >= notesSpan {
		n.begun, n.written = now, 0
	}
	n.written++
	if n.written <= notesEach {
		return true
	}
	n.leftOut++
	return false
}

// due returns, once in notesSpan, how many servers were left out; 0: no line is due.
func (n *notes) due(now time.Time) int {
	if n.leftOut == 0 || now.Sub(n.summedAt) < notesSpan {
		return 0
	}
	leftOut := n.leftOut
	n.leftOut, n.summedAt = 0, now
	return leftOut
}

// note logs what a registration changes.
func (c *Controller) note(s placement.Server, version int64) {
	old, known := c.servers.Get(s.ID)
	if known && old.Leaving == s.Leaving && old.Incarnation() == s.Incarnation() {
		return
	}
	if !c.notes.may(clock.Now()) {
		return
	}
	c.log.Info("server registered",
		zap.String("server", s.ID), zap.Int64("started", s.Started), zap.String("service", s.Service), zap.String("address", s.Address),
		zap.Bool("leaving", s.Leaving), zap.Int64("version", version))
}

// noteGone logs that a server is not registered any more.
func (c *Controller) noteGone(id string) {
	if c.notes.may(clock.Now()) {
		c.log.Info("server gone", zap.String("server", id))
	}
}

// endNotes logs how many servers have registered or gone without a line.
func (c *Controller) endNotes() {
	if leftOut := c.notes.due(clock.Now()); leftOut > 0 {
		c.log.Info("further servers registered or gone", zap.Int("servers", leftOut), zap.Int("known", len(c.entries)))
	}
}
