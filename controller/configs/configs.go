// Package configs holds the configuration in force: the newest version that
// the store or another router has told. It never goes back to an older one.
package configs

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/catalog"
	"github.com/gaplink/gaplink/guard"
	"github.com/gaplink/gaplink/store"
)

// Decode reads a configuration.
type Decode func(value []byte) (*catalog.Catalog, error)

// Controller is safe for concurrent use. It implements follow.Handler.
type Controller struct {
	decode  Decode
	key     string
	changed func(*catalog.Catalog)
	log     *zap.Logger

	catalog atomic.Pointer[catalog.Catalog]

	mu     sync.Mutex
	raw    []byte // the stored form, nil before the first
	packed []byte // raw compressed, nil until it is asked for
}

// New returns a controller without a configuration. It reads the object key;
// changed is called with each new version, one after the other.
func New(key string, decode Decode, changed func(*catalog.Catalog), log *zap.Logger) *Controller {
	return &Controller{decode: decode, key: key, changed: changed, log: log}
}

// Catalog returns the configuration in force, or nil.
func (c *Controller) Catalog() *catalog.Catalog { return c.catalog.Load() }

// Version returns the version in force, 0 before the first.
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
			c.Take(o.Value, "store")
		}
	}
}

// Advanced implements follow.Handler.
func (c *Controller) Advanced(int64) {}

// Lost implements follow.Handler. What is known stays in force.
func (c *Controller) Lost() {}

// Regained implements follow.Handler.
func (c *Controller) Regained() {}

// Take reads a configuration and puts it in force if it is newer; source says
// in the log where it came from.
func (c *Controller) Take(raw []byte, source string) {
	next, err := guard.Call(func() (*catalog.Catalog, error) { return c.decode(raw) })
	if err != nil {
		c.log.Error("configuration is not usable; the last one stays in force", zap.String("source", source), zap.Int64("config", c.Version()), zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Version <= c.Version() {
		return
	}
	c.raw, c.packed = raw, nil
	c.changed(next)
	c.catalog.Store(next)
	c.log.Info("configuration in force", zap.Int64("config", next.Version), zap.String("source", source),
		zap.Int("routes", next.RouteCount()), zap.Int("accounts", len(next.Accounts)))
}
