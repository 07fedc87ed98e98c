package configs

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// maxUnpacked bounds a configuration that another router sends: the store holds
// nothing larger than a megabyte.
const maxUnpacked = 4 << 20

// errTooLarge is a packed configuration that is larger than any in the store.
var errTooLarge = errors.New("the configuration is larger than the store allows")

// Packed returns the configuration in force for another router, compressed: one
// with thousands of routes would fill a small router's link for seconds. It is
// nil before the first configuration.
func (c *Controller) Packed() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.packed != nil || c.raw == nil {
		return c.packed, nil
	}
	packed, err := pack(c.raw)
	if err != nil {
		return nil, err
	}
	c.packed = packed
	return packed, nil
}

// TakePacked takes what another router's Packed gave; source names that router.
func (c *Controller) TakePacked(packed []byte, source string) error {
	raw, err := unpack(packed)
	if err != nil {
		return trace.Wrap(err, "unpacking the configuration of %s", source)
	}
	c.Take(raw, source)
	return nil
}

func pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err := w.Write(raw); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return out.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxUnpacked {
		return nil, errTooLarge
	}
	return raw, nil
}
