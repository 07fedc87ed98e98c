// Package evacuations keeps the failure domains that the operator has evacuated: until a domain
// is restored, no request is sent to its backend servers.
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

// Options are what a controller works with.
type Options struct {
	// Changed is called with all evacuated failure domains whenever they change, one
	// call after the other.
	Changed func(domains []string)
	Log     *zap.Logger
}

// Controller is safe for concurrent use. It implements follow.Handler.
type Controller struct {
	Options

	mu sync.Mutex
	// since is when this router learnt of each evacuation, by failure domain.
	since map[string]time.Time
	// revision is the store's revision at which since was right; 0: none is known.
	revision int64
	// pending are the evacuated domains by changes whose revision is not known yet; nil: there
	// are none.
	pending map[string]bool
}

// New returns a controller that knows of no evacuation.
func New(o Options) *Controller {
	return &Controller{Options: o, since: map[string]time.Time{}}
}

// Listed implements follow.Handler.
func (c *Controller) Listed(objects []store.Object, revision int64) {
	domains := make([]string, 0, len(objects))
	for _, o := range objects {
		domains = append(domains, store.NameOf(o.Key))
	}
	c.Take(domains, revision, "store")
}

// Changed implements follow.Handler. An object evacuates the failure domain of its name, whatever
// it holds.
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
		c.Take(slices.Collect(maps.Keys(pending)), revision, "store")
	}
}

// Take replaces the evacuated failure domains by those at a revision of the store; source is for
// the log. An older revision than the known one changes nothing.
func (c *Controller) Take(domains []string, revision int64, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.revision = revision
	changed := c.begin(domains, source)
	changed = c.end(domains, source) || changed
	if changed {
		c.Options.Changed(slices.Sorted(maps.Keys(c.since)))
	}
}

// begin notes the failure domains that are evacuated from now on.
func (c *Controller) begin(domains []string, source string) (changed bool) {
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

// end drops the evacuations that have ended.
func (c *Controller) end(domains []string, source string) (changed bool) {
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

// Domains returns the evacuated failure domains in order.
func (c *Controller) Domains() []string {
	domains, _ := c.Known()
	return domains
}

// Known returns the evacuated failure domains in order, and the revision of the store at
// which that was so; 0: none is known.
func (c *Controller) Known() (domains []string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.since)), c.revision
}

// Since returns when this router learnt of each evacuation, by failure domain.
func (c *Controller) Since() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.since)
}

// Lost implements follow.Handler. What is known stays in force.
func (c *Controller) Lost() {}

// Regained implements follow.Handler.
func (c *Controller) Regained() {}
