package origins

import (
	"context"
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
)

// askListed asks other routers which of the registered versions are on record, while the store does not answer: first events
// at these need not wait.
func (c *Controller) askListed(ctx context.Context) {
	c.mu.Lock()
	req := &peer.OriginRequest{Services: slices.Sorted(maps.Keys(c.record.toRecord))}
	c.mu.Unlock()
	binary.LittleEndian.PutUint64(req.Key[:], rand.Uint64()) // any routers
	replies, pending := c.askEach(ctx, req)
	for range pending {
		if r := <-replies; r.answer != nil {
			c.addListed(req.Services, r.answer.Listed)
		}
	}
}

// addListed takes in the versions of services that are on record according to another router.
func (c *Controller) addListed(services []string, listed [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, service := range services[:min(len(services), len(listed))] {
		for _, version := range listed[i] {
			c.history.Learn(clock.Now(), service, version)
			c.record.listedByOthers[origin.Version{Service: service, Name: version}] = true
		}
	}
	c.record.notify()
}

// listedHere returns the versions of services that are on record, by this router's copy of it.
func (c *Controller) listedHere(services []string) (listed [][]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, service := range services {
		var versions []string
		for _, version := range c.history.Served(service) {
			if c.record.has(origin.Version{Service: service, Name: version}) {
				versions = append(versions, version)
			}
		}
		listed = append(listed, versions)
	}
	return listed
}

// awaitListed waits until a version is on record in the store, for versionWait at most.
func (c *Controller) awaitListed(ctx context.Context, v origin.Version) {
	has, changed := c.isListed(v)
	if has {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	for !has {
		select {
		case <-changed:
			has, changed = c.isListed(v)
		case <-ctx.Done():
			c.noteUnlisted(v)
			return
		}
	}
}

// isListed reports whether a version is on record in the store, or there is no store, and returns a channel that is closed when
// that may have changed.
func (c *Controller) isListed(v origin.Version) (is bool, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Store == nil || c.record.has(v), c.record.changed
}

func (c *Controller) noteUnlisted(v origin.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unlisted++
	if leftOut, allowed := c.unlistedLines.Allow(clock.Now(), logInterval); allowed {
		c.Log.Warn("a version serves that is not on record in the store yet",
			zap.String("service", v.Service), zap.String("software", v.Name), zap.Int64("lines_left_out", leftOut))
	}
}
