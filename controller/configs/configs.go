// Package configs holds the active configuration: the newest version received
// from the store or another router. It never reverts to an older one.
package configs

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/store"
)

// Decode decodes a configuration.
type Decode func(value []byte) (*catalog.Catalog, error)

// Controller holds the active configuration. It is safe for concurrent use. It
// implements follow.Handler.
type Controller struct {
	decode   Decode
	key      string
	onChange func(*catalog.Catalog)
	log      *zap.Logger

	catalog atomic.Pointer[catalog.Catalog]

	mu     sync.Mutex
	raw    []byte // the encoded configuration, nil before the first
	packed []byte // raw compressed, nil until Packed is called
}

// New returns a controller without a configuration. It follows the object with
// the given key; changed is called with each new version, one call at a time.
func New(key string, decode Decode, changed func(*catalog.Catalog), log *zap.Logger) *Controller {
	return &Controller{decode: decode, key: key, onChange: changed, log: log}
}

// Catalog returns the active configuration, or nil before the first.
func (c *Controller) Catalog() *catalog.Catalog { return c.catalog.Load() }

// Version returns the active version, or 0 before the first.
func (c *Controller) Version() int64 {
	if cat := c.catalog.Load(); cat != nil {
		return cat.Version
	}
	return 0
}

// Listed implements follow.Handler.
func (c *Controller) Listed(objects []store.Object, _ int64) { c.Changed(objects) }

// Changed implements follow.Handler.
func (c *Controller) Changed(objects []store.Object) {
	for _, o := range objects {
		if o.Key == c.key && !o.Deleted {
			c.Apply(o.Value, "store")
		}
	}
}

// Advanced implements follow.Handler.
func (c *Controller) Advanced(int64) {}

// StoreLost implements follow.Handler. The configuration stays active.
func (c *Controller) StoreLost() {}

// StoreRestored implements follow.Handler.
func (c *Controller) StoreRestored() {}

// Apply decodes a configuration and activates it if it is newer. source names its
// origin in the log. Decoding errors are logged, and the active one is kept.
func (c *Controller) Apply(raw []byte, source string) {
	next, err := guard.Call(func() (*catalog.Catalog, error) { return c.decode(raw) })
	if err != nil {
		c.log.Error("cannot decode configuration; keeping the active version", zap.String("source", source), zap.Int64("config", c.Version()), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Version <= c.Version() {
		return
	}
	c.raw, c.packed = raw, nil
	c.onChange(next)
	c.catalog.Store(next)
	c.log.Info("configuration in force", zap.Int64("config", next.Version), zap.String("source", source),
		zap.Int("routes", next.RouteCount()), zap.Int("accounts", len(next.Accounts)))
}
