package origins

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/store"
)

const (
	// BoundKind is the kind of the store objects that hold the origins of streams under way, one for each router. They are
	// read if no router has the origin of a stream, as after all routers were killed.
	BoundKind = "streamorigins"
	// maxBound is the number of streams in an object: 24 bytes each.
	maxBound = 4096
	// maxBoundRouters is the number of routers beyond which origins are not kept in the store: each of them would
	// write so seldom that most streams would have ended before.
	maxBoundRouters = 32
	// boundPause is the minimum time between two writes of a router, and boundFleetPause that between two of the fleet.
	boundPause      = 500 * time.Millisecond
	boundFleetPause = 60 * time.Millisecond
	// boundTimeout bounds a write.
	boundTimeout = 2 * time.Second
	// listPause is the minimum time between two reads of all objects.
	listPause = time.Second
)

// bound is what a router keeps in the store of the streams that it has begun. c.mu protects it.
type bound struct {
	streams *origin.Bound
	// changed is set if streams were added since the last write, and writing while one is under way.
	changed, writing bool
	// split is set if the route of the last stream leads to several services.
	split bool
	// version is that of the object if read is set.
	version int64
	read    bool
	// notBefore is when the next write may begin.
	notBefore time.Time
	// stored holds the streams of all routers as last read, listing is closed when the read under way has ended, and
	// nextList is when the next one may begin.
	stored   *origin.Bound
	listing  chan struct{}
	nextList time.Time
	// seen holds the objects as first read at their versions.
	seen map[string]seenObject
}

type seenObject struct {
	version int64
	at      time.Time
}

func newBound() bound {
	return bound{streams: origin.NewBound(maxBound), stored: origin.NewBound(0), seen: map[string]seenObject{}}
}

// add adds a stream.
func (b *bound) add(r origin.Record) {
	b.streams.Add(clock.Now(), r.Key, r.Origin)
	b.changed = true
}

// storeBoundIfDue writes the streams under way to the store if several versions or services may have begun them and there are
// new ones.
func (c *Controller) storeBoundIfDue() {
	routers := c.routers()
	if !c.keepsBound(routers) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if !c.bound.changed || c.bound.writing || now.Before(c.bound.notBefore) || !c.bound.split && !c.anySeveral() {
		return
	}
	c.bound.writing = true
	c.bound.notBefore = now.Add(max(boundPause, time.Duration(routers)*boundFleetPause))
	go c.storeBound()
}

// keepsBound reports whether origins are kept in the store in a fleet of a size.
func (c *Controller) keepsBound(routers int) bool {
	return c.Store != nil && c.Self != "" && routers <= maxBoundRouters
}

// routers returns the known number of routers, at least 1.
func (c *Controller) routers() int {
	if c.Fleet == nil {
		return 1
	}
	return max(c.Fleet.Size(), 1)
}

// anySeveral reports whether several versions of any service have served recently. The caller holds c.mu.
func (c *Controller) anySeveral() bool {
	for _, several := range c.several {
		if several {
			return true
		}
	}
	return false
}

func (c *Controller) storeBound() {
	ctx, cancel := context.WithTimeout(context.Background(), boundTimeout)
	defer cancel()
	err := c.writeBound(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.writing = false
	if err != nil {
		c.bound.read, c.bound.changed = false, true
		c.Log.Info("origins of streams not kept in the store; retrying", zap.Error(err))
	}
}

func (c *Controller) writeBound(ctx context.Context) error {
	key := BoundKind + "/" + c.Self
	if err := c.readBound(ctx, key); err != nil {
		return err
	}
	c.mu.Lock()
	value, err := c.bound.streams.Encode(clock.Now())
	version := c.bound.version
	c.bound.changed = false
	c.mu.Unlock()
	if err != nil {
		return err
	}
	o, err := store.Put(ctx, c.Store, key, version, value)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bound.version = o.Version
	return nil
}

// readBound reads this router's object unless its version is known, and takes over the streams that an earlier process left
// there.
func (c *Controller) readBound(ctx context.Context, key string) error {
	c.mu.Lock()
	read := c.bound.read
	c.mu.Unlock()
	if read {
		return nil
	}
	o, err := c.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.mergeBound(c.bound.streams, o)
	}
	c.bound.read, c.bound.version = true, o.Version
	return nil
}

// mergeBound adds the streams of a stored object. The caller holds c.mu.
func (c *Controller) mergeBound(b *origin.Bound, o store.Object) {
	err := b.Merge(clock.Now(), o.Value)
	if err == nil {
		return
	}
	if leftOut, allowed := c.malformedLines.Allow(clock.Now(), logInterval); allowed {
		c.Log.Warn("malformed origins of streams in the store", zap.String("key", o.Key), zap.Error(err), zap.Int64("lines_left_out", leftOut))
	}
}

// findStored returns the origin of a stream from the store, for one of which no router has the origin.
func (c *Controller) findStored(ctx context.Context, key origin.Key) origin.Knowledge {
	if !c.keepsBound(c.routers()) {
		return origin.Knowledge{}
	}
	c.mu.Lock()
	k := c.bound.stored.Of(key)
	now := clock.Now()
	if c.bound.listing == nil && !now.Before(c.bound.nextList) && !k.Known && !k.Ambiguous {
		c.bound.listing, c.bound.nextList = make(chan struct{}), now.Add(listPause)
		go c.listBound()
	}
	listing := c.bound.listing
	c.mu.Unlock()
	if k.Known || k.Ambiguous || listing == nil {
		return k
	}
	timer := time.NewTimer(readTimeout)
	defer timer.Stop()
	select {
	case <-listing:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.stored.Of(key)
}

// listBound reads the streams of all routers.
func (c *Controller) listBound() {
	ctx, cancel := context.WithTimeout(context.Background(), boundTimeout)
	defer cancel()
	objects, _, err := c.Store.List(ctx, BoundKind)
	c.mu.Lock()
	var left []store.Object
	if err == nil {
		left = c.noteListed(objects)
	} else {
		c.Log.Info("cannot read the origins of streams from the store", zap.Error(err))
	}
	close(c.bound.listing)
	c.bound.listing = nil
	c.mu.Unlock()
	for _, o := range left {
		if err := c.Store.Delete(ctx, o.Key, o.Version); err != nil {
			c.Log.Debug("expired origins not deleted from the store", zap.String("key", o.Key), zap.Error(err))
		}
	}
}

// noteListed takes in the streams of all routers, and returns the objects that have not changed for as long as streams are
// remembered: those of routers that are gone, or have begun no stream since. The caller holds c.mu.
func (c *Controller) noteListed(objects []store.Object) (left []store.Object) {
	now := clock.Now()
	listed, seen := origin.NewBound(maxBound*len(objects)), map[string]seenObject{}
	for _, o := range objects {
		first, ok := c.bound.seen[o.Key]
		if !ok || first.version != o.Version {
			first = seenObject{o.Version, now}
		}
		seen[o.Key] = first
		if now.Sub(first.at) > origin.Retention {
			left = append(left, o)
			continue
		}
		c.mergeBound(listed, o)
	}
	c.bound.stored, c.bound.seen = listed, seen
	return left
}
