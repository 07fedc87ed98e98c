package configs

import (
	"github.com/gravitational/trace"

	"github.com/gaplink/gaplink/packed"
)

// maxUnpacked bounds the size of an uncompressed configuration from another router, in
// bytes. The store accepts no object larger than a megabyte.
const maxUnpacked = 4 << 20

// Packed returns the active configuration, compressed for another router, or nil
// before the first configuration. Uncompressed, thousands of routes would saturate
// a small router's link for seconds.
func (c *Controller) Packed() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil || c.raw == nil {
		return c.packed, nil
	}
	var err error
	c.packed, err = packed.Pack(c.raw)
	return c.packed, err
}

// ApplyPacked decompresses and applies a configuration from Packed of another router,
// which source names.
func (c *Controller) ApplyPacked(text []byte, source string) error {
	raw, err := packed.Unpack(text, maxUnpacked)
	if err != nil {
		return trace.Wrap(err, "decompressing the configuration from %s", source)
	}
	c.Apply(raw, source)
	return nil
}
