package roster

import (
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

// Errors of an invalid registration.
var (
	errOtherID = errors.New("registration has no id, or that of another router")
	errNoValue = errors.New("registration has no value, or one that is too large")
)

// unreadableLogInterval is the minimum time between two log lines about registrations that cannot be
// decoded.
const unreadableLogInterval = time.Second

// decode decodes the registration with a key. It returns an error if the id is not that of the key or
// the address is invalid.
func decode(key string, value []byte) (peer.Router, error) {
	return guard.Call(func() (peer.Router, error) {
		if len(value) == 0 {
			return peer.Router{}, errNoValue
		}
		var r peer.Router
		if err := json.Unmarshal(value, &r); err != nil {
			return peer.Router{}, err
		}
		if r.ID == "" || keyOf(r.ID) != key {
			return peer.Router{}, errOtherID
		}
		if _, err := netip.ParseAddrPort(r.Addr); err != nil {
			return peer.Router{}, err
		}
		return r, nil
	})
}

func memberOf(r peer.Router) membership.Member {
	return membership.Member{ID: r.ID, Kind: "router", Addr: r.Addr, Domain: r.Domain, State: membership.Live, Incarnation: r.Incarnation, LinkMbps: r.LinkMbps}
}

func keyOf(id string) string { return Kind + "/" + id }

// Revision implements updates.Replica.
func (c *Controller) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes.Revision()
}

// Since implements updates.Replica.
func (c *Controller) Since(revision int64, most int) (changelog.Changes[changelog.Received], bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changes.Since(revision, most)
}

// All implements updates.Replica.
func (c *Controller) All() (all []changelog.Received, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.entries {
		all = append(all, e)
	}
	changelog.SortByKey(all)
	return all, c.changes.Revision()
}

// Listed implements follow.Handler.
func (c *Controller) Listed(objects []store.Object, revision int64) {
	c.ApplyList(changelog.JustReceived(objects), revision)
}

// Changed implements follow.Handler.
func (c *Controller) Changed(objects []store.Object) { c.applyChanges(changelog.JustReceived(objects)) }

// Advanced implements follow.Handler.
func (c *Controller) Advanced(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changes.Revision() == 0 {
		return // changes alone don't show the registrations that existed before
	}
	c.changes.Advance(revision)
	c.changes.Trim(len(c.entries))
}

// StoreLost implements follow.Handler.
func (c *Controller) StoreLost() {}

// StoreRestored implements follow.Handler.
func (c *Controller) StoreRestored() {}

// ApplyUpdate implements updates.Replica. It ignores an update older than the known revision.
func (c *Controller) ApplyUpdate(changed []changelog.Received, revision int64) {
	if revision < c.Revision() {
		return
	}
	c.applyChanges(changed)
	c.Advanced(revision)
}

// ApplyList implements updates.Replica. It ignores a list older than the known revision.
func (c *Controller) ApplyList(all []changelog.Received, revision int64) {
	c.mu.Lock()
	known := c.changes.Revision()
	c.mu.Unlock()
	if revision < known {
		return
	}
	present := make(map[string]bool, len(all))
	for _, o := range all {
		present[o.Key] = true
	}
	c.applyChanges(append(c.missingFrom(present, revision), all...))
	if len(all) >= Large {
		// A known router that is not registered yet is added again by later changes.
		c.Members.Retain(func(id string) bool { return present[keyOf(id)] })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known == 0 {
		c.changes.Reset(revision)
		return
	}
	c.changes.Advance(revision)
	c.changes.Trim(len(c.entries))
}

// missingFrom returns deletions of the known registrations that a list at a revision lacks.
func (c *Controller) missingFrom(present map[string]bool, revision int64) []changelog.Received {
	c.mu.Lock()
	defer c.mu.Unlock()
	var deletions []changelog.Received
	for key, e := range c.entries {
		if !present[key] && e.Version <= revision {
			deletions = append(deletions, changelog.Received{Object: store.Object{Key: key, Version: revision, Deleted: true}})
		}
	}
	return deletions
}

// applyChanges applies registrations and deletions in order.
func (c *Controller) applyChanges(objects []changelog.Received) {
	var registered []membership.Member
	var gone []string
	for _, o := range objects {
		if !c.apply(o) {
			continue
		}
		if o.Deleted {
			gone = append(gone, store.NameOf(o.Key))
			continue
		}
		r, err := decode(o.Key, o.Value)
		if err != nil {
			c.logUnreadable(o.Key, err)
			continue
		}
		if r.ID == c.Self.ID {
			c.setOwnVersion(r, o.Version)
			continue
		}
		// A restarted router keeps its registration, so the process that wrote it may not be
		// the one that runs.
		r.Incarnation = ""
		registered = append(registered, memberOf(r))
	}
	if len(registered)+len(gone) == 0 {
		return
	}
	c.Members.Registered(registered, gone)
	c.Log.Info("registrations of routers", zap.Int("registered", len(registered)), zap.Int("gone", len(gone)), zap.Int("known", c.Size()))
}

func (c *Controller) logUnreadable(key string, cause error) {
	if leftOut, allowed := c.unreadable.Allow(clock.Now(), unreadableLogInterval); allowed {
		c.Log.Error("cannot decode router registration; ignoring it", zap.String("key", key), zap.Int64("lines_left_out", leftOut), zap.Error(cause))
	}
}

// apply stores a registration or its deletion, and reports whether it is new.
func (c *Controller) apply(o changelog.Received) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, had := c.entries[o.Key]
	switch {
	case o.Deleted && (!had || o.Version > 0 && o.Version < known.Version):
		return false
	case !o.Deleted && had && o.Version <= known.Version:
		return false
	}
	if o.Deleted {
		delete(c.entries, o.Key)
	} else {
		o.Age = 0
		c.entries[o.Key] = o
	}
	c.changes.Add(o.Key, o)
	return true
}
