package registry

import (
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
)

// A registration that is missing after this router was disconnected from the store may have
// lapsed because its server could not reach the store either, or its server may have
// stopped. The other registrations tell the two cases apart. An outage of the store makes
// most registrations lapse at once, and they return with new versions. If most are
// unchanged, the store was available and only routers were disconnected: a server whose
// registration is missing has then stopped, possibly right after this router lost its
// connection, and receives no further requests.
const (
	// lapseGrace is how long a lapsed registration may be missing after the store has
	// recovered. Live servers register again within two seconds of the recovery.
	lapseGrace = 2200 * time.Millisecond
	// lapsedShare is the share of the servers in use above which missing registrations count
	// as lapsed.
	lapsedShare = 0.5
)

// StoreRestored implements follow.Handler. It makes the next update check for lapsed registrations.
func (c *Controller) StoreRestored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restoredAt = clock.Now()
	c.lapsed, c.lapseChecked = false, false
}

// lapseCheckDue reports whether an update may decide if registrations have lapsed. That is
// the first list within lapseGrace after the connection to the store was restored, or the
// first changes that delete registrations.
func (c *Controller) lapseCheckDue() bool {
	return !c.lapseChecked && clock.Since(c.restoredAt) <= lapseGrace
}

// checkLapse decides whether registrations have lapsed. lostKeys holds the keys of those that
// an update lacks or contains as created again.
func (c *Controller) checkLapse(lostKeys map[string]bool) {
	inUse, lost := 0, 0
	for key, e := range c.entries {
		if !e.readable || e.server.Leaving {
			continue
		}
		inUse++
		if lostKeys[key] {
			lost++
		}
	}
	if lost == 0 {
		return
	}
	c.lapseChecked = true
	c.lapsed = float64(lost) > lapsedShare*float64(inUse)
	c.log.Info("registrations missing after the store was lost", zap.Bool("lapsed", c.lapsed), zap.Int("in_use", inUse),
		zap.Int("missing_or_new", lost), zap.Duration("regained_ms_ago", clock.Since(c.restoredAt)))
}

// lostInList returns the known registrations that a list lacks or contains with a new
// version, unless the new version says that the server is leaving.
func (c *Controller) lostInList(present map[string]changelog.Received) map[string]bool {
	keys := map[string]bool{}
	for key, known := range c.entries {
		o, ok := present[key]
		keys[key] = !ok || o.Version > known.Version && !c.saysLeaving(o)
	}
	return keys
}

// deletedKeys returns the registrations that changes delete, including those that the
// same changes create again.
func deletedKeys(objects []changelog.Received) map[string]bool {
	keys := map[string]bool{}
	for _, o := range objects {
		if o.Deleted {
			keys[o.Key] = true
		}
	}
	return keys
}

// saysLeaving reports whether a registration says that its server is leaving.
func (c *Controller) saysLeaving(o changelog.Received) bool {
	s, err := c.decodeEntry(o)
	return err == nil && s.Leaving
}

// handleMissing handles a missing registration: it removes the server at once, or, if the
// registration may have lapsed, keeps it until lapseGrace after the store was restored.
func (c *Controller) handleMissing(id string) {
	if _, already := c.missing[id]; already || !c.servers.Has(id) {
		return
	}
	until := c.restoredAt.Add(lapseGrace)
	left := clock.Until(until)
	if !c.lapsed || left <= 0 {
		c.remove(id)
		return
	}
	c.missing[id] = until
	c.log.Info("registration may have lapsed", zap.String("server", id), zap.Duration("kept_ms", left))
}

// removeMissing removes the servers whose registrations have not returned in time.
func (c *Controller) removeMissing(now time.Time) {
	for id, until := range c.missing {
		if now.Before(until) {
			continue
		}
		delete(c.missing, id)
		c.remove(id)
	}
}

// remove removes a server whose registration is gone.
func (c *Controller) remove(id string) {
	c.servers.Remove(id)
	c.logGone(id)
}
