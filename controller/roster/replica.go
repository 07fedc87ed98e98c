package roster

import (
	"encoding/json"
	"errors"
	"net/netip"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/changelog"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

// errNoID is a registration that does not say whose it is.
var errNoID = errors.New("no id")

// decode reads a router's registration. One without an id or an address to call is
// none.
func decode(value []byte) (peer.Router, error) {
	return guard.Call(func() (peer.Router, error) {
		var r peer.Router
		if err := json.Unmarshal(value, &r); err != nil {
			return peer.Router{}, err
		}
		if r.ID == "" {
			return peer.Router{}, errNoID
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
	c.TakeListed(changelog.Fresh(objects), revision)
}

// Changed implements follow.Handler.
func (c *Controller) Changed(objects []store.Object) { c.takeChanged(changelog.Fresh(objects)) }

// Advanced implements follow.Handler.
func (c *Controller) Advanced(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changes.Revision() == 0 {
		return // only a list shows what there was before
	}
	c.changes.Advance(revision)
	c.changes.Trim(len(c.entries))
}

// Lost implements follow.Handler.
func (c *Controller) Lost() {}

// Regained implements follow.Handler.
func (c *Controller) Regained() {}

// TakeUpdate implements updates.Replica. One that is older than what is known changes nothing.
func (c *Controller) TakeUpdate(changed []changelog.Received, revision int64) {
	if revision < c.Revision() {
		return
	}
	c.takeChanged(changed)
	c.Advanced(revision)
}

// TakeListed implements updates.Replica. A list that is older than what is known changes nothing.
func (c *Controller) TakeListed(all []changelog.Received, revision int64) {
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
	c.takeChanged(append(c.absent(present, revision), all...))
	if len(all) >= Large {
		// A router that is met and not registered yet comes with the next changes.
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

// absent returns the ends of the registrations that a list at a revision lacks.
func (c *Controller) absent(present map[string]bool, revision int64) []changelog.Received {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []changelog.Received
	for key, e := range c.entries {
		if !present[key] && e.Version <= revision {
			ends = append(ends, changelog.Received{Object: store.Object{Key: key, Version: revision, Deleted: true}})
		}
	}
	return ends
}

// takeChanged takes registrations and their ends, in this order.
func (c *Controller) takeChanged(objects []changelog.Received) {
	var met []membership.Member
	var gone []string
	for _, o := range objects {
		if !c.put(o) {
			continue
		}
		if o.Deleted {
			gone = append(gone, store.NameOf(o.Key))
			continue
		}
		r, err := decode(o.Value)
		if err != nil {
			c.Log.Error("registration of a router is not readable", zap.String("key", o.Key), zap.Error(err))
			continue
		}
		if r.ID == c.Self.ID {
			c.found(r, o.Version)
			continue
		}
		// The process that wrote it need not be the one that runs: a restart writes nothing.
		r.Incarnation = ""
		met = append(met, memberOf(r))
	}
	if len(met)+len(gone) == 0 {
		return
	}
	c.Members.Registered(met, gone)
	c.Log.Info("registrations of routers", zap.Int("registered", len(met)), zap.Int("gone", len(gone)), zap.Int("known", c.Size()))
}

// put keeps a registration or its end, and tells whether it is news.
func (c *Controller) put(o changelog.Received) bool {
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
