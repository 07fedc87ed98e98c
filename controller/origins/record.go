package origins

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/origin"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// Kind is the kind of the store object that holds which versions have served.
	Kind = "softwareversions"
	// recordKey is that object. One object holds all services, so that a service that is missing in it is one of which no
	// version has served.
	recordKey = Kind + "/served"
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
	// readTimeout is how long a stream that is taken up waits for the record, and readPause the minimum time between two
	// reads for streams.
	readTimeout = 300 * time.Millisecond
	readPause   = 20 * time.Millisecond
)

// record is what a router knows of the store's record of the versions that have served. c.mu protects it.
type record struct {
	// known is the record as last read or written, at a version of its object; read is set if it was and still counts.
	known   origin.Served
	version int64
	read    bool
	// changed is closed when known or read changes.
	changed chan struct{}
	// listed are versions that are on record according to other routers, while the store does not answer.
	listed map[origin.Version]bool
	// registered are the versions of the servers that are registered, by service, and those that were and have not been on
	// record yet.
	registered map[string][]string
	// returned are the services of which a version on record was seen again after a long absence, until the record says so.
	returned map[string]bool
	// syncing is set while the record is brought up to date; again asks for another time after that.
	syncing, again bool
	// notBefore is when that may be tried again after so many failures in a row.
	notBefore time.Time
	failures  int
	// syncAt is when the record is brought up to date if no stream waits for that, and dropAt when versions that have
	// gone are removed; zero: not needed.
	syncAt, dropAt time.Time
	// reading is set while the record is read for streams, and nextRead the read that those wait for which came since
	// the last one began.
	reading  bool
	nextRead *recordRead
}

// recordRead is one read of the record.
type recordRead struct {
	done   chan struct{}
	served origin.Served
	err    error
}

func newRecord() record {
	return record{changed: make(chan struct{}), registered: map[string][]string{}, listed: map[origin.Version]bool{}, returned: map[string]bool{}}
}

// observe records the versions of the registered servers of a service. Those that have returned after a long absence may
// have been removed from the store meanwhile, or their removal may be under way.
func (r *record) observe(service string, versions, returned []string) {
	unrecorded := slices.DeleteFunc(r.registered[service], func(v string) bool { return r.known.Covers(service, v) })
	r.registered[service] = union(unrecorded, versions)
	for _, version := range returned {
		if r.known.Remove(service, version) {
			r.returned[service] = true
		}
		delete(r.listed, origin.Version{Service: service, Name: version})
	}
}

// forget has the record read anew: after a long time without current registrations, versions may have been removed that
// serve again.
func (r *record) forget() {
	r.known, r.read = origin.Served{}, false
	clear(r.listed)
}

// has reports whether a version is on record in the store.
func (r *record) has(v origin.Version) bool {
	return r.read && r.known.Covers(v.Service, v.Name) && !r.returned[v.Service] || r.listed[v]
}

// mayMiss reports whether versions may have served that this router does not know.
func (r *record) mayMiss() bool { return !r.read || r.known.Incomplete }

// lacksRegistered reports whether a version is registered that is not on record, or whose return is not.
func (r *record) lacksRegistered() bool {
	if len(r.returned) > 0 {
		return true
	}
	for service, versions := range r.registered {
		for _, version := range versions {
			if !r.known.Covers(service, version) {
				return true
			}
		}
	}
	return false
}

// notify wakes those that wait for a change.
func (r *record) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// gone returns the versions on record that this router has watched to be absent for origin.Retention. The caller holds
// c.mu.
func (c *Controller) gone(r origin.Served) (list []origin.Version) {
	for service, versions := range r.Versions {
		for _, version := range versions {
			if c.record.known.Has(service, version) && !c.history.Has(service, version) {
				list = append(list, origin.Version{Service: service, Name: version})
			}
		}
	}
	return list
}

// completes reports whether this router has watched for so long that an incomplete record is complete. The caller holds
// c.mu.
func (c *Controller) completes() bool {
	since := c.history.Watched()
	return !since.IsZero() && clock.Since(since) > origin.Retention
}

// syncIfDue brings the record up to date if that is needed and due.
func (c *Controller) syncIfDue() {
	if c.Store != nil && c.syncDue() {
		c.syncNow()
	}
}

func (c *Controller) syncDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.record.read && !c.record.lacksRegistered() {
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
	routers := 1
	if c.Fleet != nil {
		routers = max(c.Fleet.Size(), 1)
	}
	return rand.N(time.Duration(routers) * each)
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

// syncNow brings the record up to date, or once more if that is under way.
func (c *Controller) syncNow() {
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
		return // Tick does it
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
	for service, versions := range c.record.registered {
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
	if leftOut, allowed := c.lines.Allow(clock.Now(), unrecordedLogInterval); allowed {
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

// learn takes in the record as it is in the store, at a version of its object.
func (c *Controller) learn(served origin.Served, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record.read && version < c.record.version {
		return // an answer that was overtaken
	}
	now := clock.Now()
	for service, versions := range served.Versions {
		hasReturns := c.record.read && served.Returns[service] != c.record.known.Returns[service]
		for _, version := range versions {
			if hasReturns || !c.record.known.Has(service, version) {
				c.history.Learn(now, service, version)
			}
		}
	}
	c.record.known, c.record.version, c.record.read = served.Clone(), version, true
	c.record.notify()
}

// askListed asks other routers which of the registered versions are on record, while the store does not answer: first events
// at these need not wait.
func (c *Controller) askListed(ctx context.Context) {
	c.mu.Lock()
	req := &peer.OriginRequest{Services: slices.Sorted(maps.Keys(c.record.registered))}
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
			c.record.listed[origin.Version{Service: service, Name: version}] = true
		}
	}
	c.record.notify()
}

// listedHere returns the versions of services that are on record as far as this router knows.
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
	ctx, cancel := context.WithTimeout(ctx, versionWait)
	defer cancel()
	for {
		c.mu.Lock()
		has, changed := c.record.has(v), c.record.changed
		c.mu.Unlock()
		if has || c.Store == nil {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.noteUnlisted(v)
			return
		}
	}
}

func (c *Controller) noteUnlisted(v origin.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Unlisted++
	if leftOut, allowed := c.lines.Allow(clock.Now(), unrecordedLogInterval); allowed {
		c.Log.Warn("a version serves that is not on record in the store yet", zap.String("service", v.Service), zap.String("software", v.Name), zap.Int64("lines_left_out", leftOut))
	}
}

// readServed returns the record as the store has it at some time after the call. Calls at the same time share a read.
func (c *Controller) readServed(ctx context.Context) (origin.Served, error) {
	if c.Store == nil {
		return origin.Served{}, store.ErrUnavailable
	}
	c.mu.Lock()
	if c.record.nextRead == nil {
		c.record.nextRead = &recordRead{done: make(chan struct{})}
	}
	read := c.record.nextRead
	if !c.record.reading {
		c.record.reading = true
		go c.readForStreams()
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	select {
	case <-read.done:
		return read.served, read.err
	case <-ctx.Done():
		return origin.Served{}, ctx.Err()
	}
}

// readForStreams reads the record until no stream waits for it.
func (c *Controller) readForStreams() {
	for {
		c.mu.Lock()
		read := c.record.nextRead
		c.record.nextRead = nil
		c.record.reading = read != nil
		c.mu.Unlock()
		if read == nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		current, err := c.readStore(ctx)
		cancel()
		read.served, read.err = current.served, err
		if err == nil && !current.usable {
			read.served.Incomplete = true
			c.syncNow()
		}
		close(read.done)
		time.Sleep(readPause)
	}
}

// unionServed returns the versions of services that have served by a record and by what was found otherwise.
func unionServed(record origin.Served, services []string, served [][]string) [][]string {
	all := slices.Clone(served)
	for i, service := range services {
		all[i] = union(all[i], record.Versions[service])
	}
	return all
}
