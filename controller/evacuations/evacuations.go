// Package evacuations tracks the failure domains that the operator has evacuated. No requests are
// sent to the backend servers of an evacuated domain until it is restored.
package evacuations

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/store"
)

// Options configures a Controller.
type Options struct {
	// Changed is called with all evacuated failure domains when they change, one call at
	// a time.
	Changed func(domains []string)
	Log     *zap.Logger
}

// Controller tracks the evacuated failure domains. It is safe for concurrent use. It implements
// follow.Handler.
type Controller struct {
	Options

	mu sync.Mutex
	// since is when this router learned of each evacuation, by failure domain.
	since map[string]time.Time
	// revision is the store revision that since reflects, or 0 if none is known.
	revision int64
	// pending is the set of evacuated domains after changes whose revision is not known yet, or
	// nil without such changes.
	pending map[string]bool
}

// New returns a controller without evacuations.
func New(o Options) *Controller {
	return &Controller{Options: o, since: map[string]time.Time{}}
}

// Listed implements follow.Handler.
func (c *Controller) Listed(objects []store.Object, revision int64) {
	domains := make([]string, 0, len(objects))
	for _, o := range objects {
		domains = append(domains, store.NameOf(o.Key))
	}
	c.Apply(domains, revision, "store")
}

// Changed implements follow.Handler. An object evacuates the failure domain that it is named
// after, regardless of its value.
func (c *Controller) Changed(objects []store.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = map[string]bool{}
	for domain := range c.since {
		c.pending[domain] = true
	}
	for _, o := range objects {
		c.pending[store.NameOf(o.Key)] = !o.Deleted
	}
	maps.DeleteFunc(c.pending, func(_ string, evacuated bool) bool { return !evacuated })
}

// Advanced implements follow.Handler.
func (c *Controller) Advanced(revision int64) {
	c.mu.Lock()
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	if pending != nil {
		c.Apply(slices.Collect(maps.Keys(pending)), revision, "store")
	}
}

// Apply replaces the evacuated failure domains by those at a store revision, unless that revision
// is not newer than the known one. source names the origin in the log.
func (c *Controller) Apply(domains []string, revision int64, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.revision = revision
	changed := c.addEvacuated(domains, source)
	changed = c.removeRestored(domains, source) || changed
	if changed {
		c.Options.Changed(slices.Sorted(maps.Keys(c.since)))
	}
}

// addEvacuated adds newly evacuated failure domains. The caller holds the lock.
func (c *Controller) addEvacuated(domains []string, source string) (changed bool) {
	for _, domain := range domains {
		if _, known := c.since[domain]; known || domain == "" {
			continue
		}
		c.since[domain] = clock.Now()
		changed = true
		c.Log.Warn("failure domain evacuated", zap.String("domain", domain),
			zap.Int64("revision", c.revision), zap.String("source", source))
	}
	return changed
}

// removeRestored removes restored failure domains. The caller holds the lock.
func (c *Controller) removeRestored(domains []string, source string) (changed bool) {
	for domain, since := range c.since {
		if slices.Contains(domains, domain) {
			continue
		}
		delete(c.since, domain)
		changed = true
		c.Log.Info("failure domain restored", zap.String("domain", domain), zap.Duration("after_ms", clock.Since(since)),
			zap.Int64("revision", c.revision), zap.String("source", source))
	}
	return changed
}

// Domains returns the evacuated failure domains, sorted.
func (c *Controller) Domains() []string {
	domains, _ := c.Known()
	return domains
}

// Known returns the evacuated failure domains, sorted, and the store revision that they
// reflect, or 0 if none is known.
func (c *Controller) Known() (domains []string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.since)), c.revision
}

// Since returns when this router learned of each evacuation, by failure domain.
func (c *Controller) Since() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.since)
}

// StoreLost implements follow.Handler. Known evacuations stay in effect.
func (c *Controller) StoreLost() {}

// StoreRestored implements follow.Handler.
func (c *Controller) StoreRestored() {}
