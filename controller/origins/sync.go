package origins

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/store"
)

const (
	// syncTimeout bounds bringing the record up to date.
	syncTimeout = 5 * time.Second
	// syncPauseMin is the pause after a failure; it doubles up to syncPauseMax.
	syncPauseMin = 100 * time.Millisecond
	syncPauseMax = 2 * time.Second
	// maxConflicts is the number of conflicts in a row after which a write counts as failed.
	maxConflicts = 8
	// syncSpread is the time, for each router, over which routers spread their calls after a start or when a version has come,
	// if no stream waits for them, and dropSpread that for the removal of a version that has gone: one of them is enough.
	syncSpread = 2 * time.Millisecond
	dropSpread = 50 * time.Millisecond
)

// syncIfDue brings the record up to date if that is needed and due.
func (c *Controller) syncIfDue() {
	if c.Store != nil && c.syncDue() {
		c.requestSync()
	}
}

func (c *Controller) syncDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.record.read && !c.record.lacksAny() {
		c.record.syncAt = time.Time{}
		return c.dropDue(now)
	}
	if c.record.syncAt.IsZero() {
		c.record.syncAt = now.Add(c.spread(syncSpread))
	}
	return !now.Before(c.record.syncAt)
}

// spread returns a random time over which the routers of the fleet spread calls.
func (c *Controller) spread(each time.Duration) time.Duration {
	return rand.N(time.Duration(c.routers()) * each)
}

// dropDue reports whether this router is to remove something from the record now. The caller holds c.mu.
func (c *Controller) dropDue(now time.Time) bool {
	if !(c.record.known.Incomplete && c.completes()) && len(c.gone(c.record.known)) == 0 {
		c.record.dropAt = time.Time{}
		return false
	}
	if c.record.dropAt.IsZero() {
		c.record.dropAt = now.Add(c.spread(dropSpread))
	}
	return !now.Before(c.record.dropAt)
}

// requestSync has the record brought up to date, or once more if that is under way. After a failure Tick does it, once the
// pause has passed.
func (c *Controller) requestSync() {
	if c.Store == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.syncing {
		c.record.again = true
		return
	}
	if clock.Now().Before(c.record.notBefore) {
		return
	}
	c.record.syncing, c.record.again = true, false
	go c.sync()
}

// sync reads the record, adds the versions that are registered and removes those that have gone.
func (c *Controller) sync() {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	for {
		err := c.syncOnce(ctx)
		if err != nil {
			c.askListed(ctx)
		}
		c.mu.Lock()
		c.noteSync(err)
		if err != nil || !c.record.again {
			c.record.syncing = false
			c.mu.Unlock()
			return
		}
		c.record.again = false
		c.mu.Unlock()
	}
}

// noteSync records the outcome of bringing the record up to date. The caller holds c.mu.
func (c *Controller) noteSync(err error) {
	if err == nil {
		c.record.failures, c.record.notBefore = 0, time.Time{}
		return
	}
	pause := min(syncPauseMin<<min(c.record.failures, 8), syncPauseMax)
	c.record.failures++
	c.record.notBefore = clock.Now().Add(pause/2 + rand.N(pause))
	c.Log.Info("versions not recorded in the store; retrying", zap.Error(err), zap.Duration("pause_ms", pause))
}

func (c *Controller) syncOnce(ctx context.Context) error {
	current, err := c.readStore(ctx)
	for conflicts := 0; err == nil; conflicts++ {
		wanted, change := c.wanted(current.served)
		if !change && current.usable {
			return nil
		}
		var object store.Object
		if object, err = c.write(ctx, wanted, current.version); !errors.Is(err, store.ErrConflict) || conflicts >= maxConflicts {
			return err
		}
		current, err = c.afterConflict(ctx, object)
	}
	return err
}

// afterConflict returns the record after a conflict, from the answer if that shows it.
func (c *Controller) afterConflict(ctx context.Context, object store.Object) (storedRecord, error) {
	if object.Version == 0 {
		return c.readStore(ctx)
	}
	return c.decode(object), nil
}

// write writes the record and returns the object that the store has.
func (c *Controller) write(ctx context.Context, wanted origin.Served, version int64) (store.Object, error) {
	value, err := wanted.Encode()
	if err != nil {
		return store.Object{}, err
	}
	current, err := store.Put(ctx, c.Store, recordKey, version, value)
	if err != nil {
		return current, err
	}
	c.Log.Info("versions recorded in the store", zap.Any("versions", wanted.Versions), zap.Bool("incomplete", wanted.Incomplete))
	c.learn(wanted, current.Version)
	c.returnsWritten()
	return current, nil
}

// returnsWritten records that the record tells of the returns that this router has seen.
func (c *Controller) returnsWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.record.returned)
	c.record.notify()
}

// wanted returns what the record should be, given what it is, and whether that is a change.
func (c *Controller) wanted(served origin.Served) (wanted origin.Served, change bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted = served.Clone()
	for service := range c.record.returned {
		wanted.CountReturn(service)
		change = true
	}
	for _, v := range c.gone(wanted) {
		change = wanted.Remove(v.Service, v.Name) || change
	}
	for service, versions := range c.record.toRecord {
		for _, version := range versions {
			change = wanted.Add(service, version) || change
		}
	}
	if wanted.Incomplete {
		for _, v := range c.history.All() {
			change = wanted.Add(v.Service, v.Name) || change
		}
	}
	if wanted.Incomplete && c.completes() {
		wanted.Incomplete, change = false, true
	}
	return wanted, change
}

// storedRecord is the record as the store has it at a version of its object. If it is missing or malformed, it is not usable
// and served is what replaces it.
type storedRecord struct {
	served  origin.Served
	version int64
	usable  bool
}

// readStore reads the record.
func (c *Controller) readStore(ctx context.Context) (storedRecord, error) {
	o, err := c.Store.Get(ctx, recordKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return storedRecord{served: c.replacement(true)}, nil
	case err != nil:
		return storedRecord{}, err
	}
	return c.decode(o), nil
}

// decode decodes the record and takes it in.
func (c *Controller) decode(o store.Object) storedRecord {
	served, err := origin.DecodeServed(o.Value)
	if err != nil {
		c.noteMalformed(err)
		served = c.replacement(false)
	}
	c.learn(served, o.Version)
	return storedRecord{served: served, version: o.Version, usable: err == nil}
}

func (c *Controller) noteMalformed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leftOut, allowed := c.malformedLines.Allow(clock.Now(), logInterval); allowed {
		c.Log.Warn("malformed record of versions in the store; it is replaced", zap.Error(err), zap.Int64("lines_left_out", leftOut))
	}
}

// replacement returns the record that replaces one that is missing or malformed: what this router knows. It is incomplete, unless
// the fleet starts for the first time and there has been none.
func (c *Controller) replacement(missing bool) origin.Served {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := origin.Served{Incomplete: !missing || !c.FirstStart || c.record.version != 0}
	for _, v := range c.history.All() {
		served.Add(v.Service, v.Name)
	}
	return served
}
