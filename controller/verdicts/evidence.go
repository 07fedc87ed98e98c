package verdicts

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/placement"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/rawjson"
	"github.com/gaplink/gaplink/store"
)

const (
	// evidenceKey is the store object that holds the crashes before a verdict, so that they survive a crash of all
	// routers.
	evidenceKey = Kind + "/evidence"
	// maxStoredCrashes and maxStoredRequests bound the object: 100 KB with 64 parts a crash.
	maxStoredCrashes  = 32
	maxStoredRequests = 32
	// evidenceDelay is the time from a crash until it is written, in which other routers report the requests that ran there.
	// evidenceJitter is added at random, so that one router writes for all that know of the crash.
	evidenceDelay  = 50 * time.Millisecond
	evidenceJitter = 150 * time.Millisecond
	// minEvidenceInterval is the least time between two writes of the fleet. It grows by half with each write up to
	// maxEvidenceInterval, and is the least one again if there was none for evidenceQuiet.
	minEvidenceInterval = 100 * time.Millisecond
	maxEvidenceInterval = 2 * time.Second
	evidenceQuiet       = 10 * time.Second
	// minEvidenceRetry is the delay after a failed write; it doubles up to maxEvidenceRetry.
	minEvidenceRetry = 2 * time.Second
	maxEvidenceRetry = 16 * time.Second
	// evidenceTimeout bounds the store calls of a write.
	evidenceTimeout = 2 * time.Second
	// evidenceRetention is how long a crash in the store is of use.
	evidenceRetention = time.Hour
)

// storedEvidence is the stored form of crashes.
type storedEvidence struct {
	Crashes []storedCrash `json:"crashes"`
	// Ends are those that the writer has seen since the crashes, by service.
	Ends map[string]poison.Ends `json:"ends,omitempty"`
}

// storedCrash is the stored form of a crash and of the requests and parts that are suspected of it. Its time is wall clock
// time, as for verdicts.
type storedCrash struct {
	Server   string           `json:"server"`
	Started  int64            `json:"started,omitempty"`
	Service  string           `json:"service"`
	AtMs     int64            `json:"atMs"`
	Requests []hexFingerprint `json:"requests"`
	Parts    []storedPart     `json:"parts,omitempty"`
	// Holds are the indices in Parts of those of each request.
	Holds [][]byte `json:"holds,omitempty"`
}

type storedPart struct {
	Own    hexFingerprint `json:"own"`
	Shared hexFingerprint `json:"shared"`
	Name   string         `json:"name"`
}

// scheduleEvidence has the crashes written that this router keeps for the fleet: in a small fleet those that it has observed,
// in a large one the relays keep all. The caller holds c.mu.
func (c *Controller) scheduleEvidence(local bool) {
	isLarge := c.Stale != nil && c.Stale()
	if c.Store == nil || c.writingEvidence || c.relaysSendReports() || !local && !isLarge {
		return
	}
	c.writingEvidence = true
	delay := max(evidenceDelay, clock.Until(c.evidenceStored.Add(c.evidenceInterval)), c.evidenceRetry)
	time.AfterFunc(delay+rand.N(evidenceJitter), c.writeEvidence)
}

// voidEvidence has the crashes written once more because a verdict has been lifted: the next fleet must not reach it again by
// the same crashes. The caller holds c.mu.
func (c *Controller) voidEvidence() {
	c.evidenceVoid = true
	c.scheduleEvidence(true)
}

// paceEvidence notes that a router has written crashes. The caller holds c.mu.
func (c *Controller) paceEvidence() {
	now := clock.Now()
	c.evidenceInterval = min(c.evidenceInterval*3/2, maxEvidenceInterval)
	if now.Sub(c.evidenceStored) > evidenceQuiet {
		c.evidenceInterval = minEvidenceInterval
	}
	c.evidenceStored = now
}

// writeEvidence writes the crashes that say most to the store, unless another router has written all of them.
func (c *Controller) writeEvidence() {
	c.mu.Lock()
	crashes, unstored := c.table.Evidence(clock.Now(), maxStoredCrashes)
	isVoid := c.evidenceVoid
	c.writingEvidence, c.evidenceVoid = unstored || isVoid, false
	version, running, ends := c.evidenceVersion, c.running, c.table.Ends()
	c.mu.Unlock()
	if !unstored && !isVoid || running.Err() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(running, evidenceTimeout)
	defer cancel()
	version, err := c.putEvidence(ctx, version, crashes, ends)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingEvidence = false
	if running.Err() != nil {
		return // the router has stopped
	}
	if err != nil {
		c.Log.Info("crashes not written to the store; retrying", zap.Int("crashes", len(crashes)), zap.Error(err))
		if !errors.Is(err, store.ErrConflict) {
			c.evidenceRetry = min(max(2*c.evidenceRetry, minEvidenceRetry), maxEvidenceRetry)
		}
		c.evidenceVoid = c.evidenceVoid || isVoid
		c.scheduleEvidence(true)
		return
	}
	c.evidenceVersion, c.evidenceRetry = version, 0
	c.recordStored(crashes)
	if _, unstored := c.table.Evidence(clock.Now(), maxStoredCrashes); unstored || c.evidenceVoid {
		c.scheduleEvidence(true) // crashes and lifts that came during the write
	}
}

// putEvidence writes crashes and returns the version of the object. If another router has written it since, its crashes are
// applied here, and the write fails.
func (c *Controller) putEvidence(ctx context.Context, version int64, crashes []poison.Crash, ends map[string]poison.Ends) (int64, error) {
	evidence := encodeCrashes(crashes)
	evidence.Ends = ends
	value, err := json.Marshal(evidence)
	if err != nil {
		return version, err
	}
	written, err := store.Put(ctx, c.Store, evidenceKey, version, value)
	if err == nil {
		return written.Version, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrNotFound) {
		return version, err
	}
	current, getErr := c.Store.Get(ctx, evidenceKey)
	switch {
	case errors.Is(getErr, store.ErrNotFound):
		c.setEvidenceVersion(0)
	case getErr != nil:
		return version, getErr
	default:
		c.applyEvidence(current)
	}
	return version, err
}

// recordStored notes that crashes are in the store and tells the other routers. The caller holds c.mu.
func (c *Controller) recordStored(crashes []poison.Crash) {
	c.paceEvidence()
	c.counts.EvidenceWrites++
	var servers []placement.Incarnation
	for _, e := range crashes {
		servers = append(servers, e.Server)
	}
	r := poison.Report{Stored: servers}
	c.table.Apply(clock.Now(), r)
	c.spread.Send(r)
}

// setEvidenceVersion sets the known version of the object and returns the one before.
func (c *Controller) setEvidenceVersion(version int64) (before int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before, c.evidenceVersion = c.evidenceVersion, version
	return before
}

// applyEvidence applies the crashes in the store.
func (c *Controller) applyEvidence(o store.Object) {
	isFirst := c.setEvidenceVersion(o.Version) == 0
	s, err := decodeEvidence(o.Value)
	if err != nil {
		c.Log.Warn("malformed crashes in the store ignored", zap.String("key", o.Key), zap.Int("others", len(s.Crashes)), zap.Error(err))
	}
	r := decodeCrashes(s)
	for _, e := range r.Crashes {
		r.Stored = append(r.Stored, e.Server)
	}
	if !r.IsEmpty() {
		c.Log.Info("crashes read from the store", zap.Int("crashes", len(r.Crashes)), zap.Int64("version", o.Version))
		c.apply(r, origin{name: "store"})
	}
	if isFirst {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.table.AddEnds(s.Ends)
	}
}

// decodeEvidence decodes each crash in the store by itself. It leaves out those that it cannot decode, and returns the error
// of the last one beside the others.
func decodeEvidence(value []byte) (s storedEvidence, odd error) {
	r := rawjson.NewReader(bytes.NewReader(value))
	decode := func(into any) (decoded bool, err error) {
		text, err := r.Value(len(value))
		if err != nil {
			return false, err
		}
		if err := json.Unmarshal(text, into); err != nil {
			odd = err
			return false, nil
		}
		return true, nil
	}
	crash := func() error {
		var one storedCrash
		decoded, err := decode(&one)
		if decoded {
			s.Crashes = append(s.Crashes, one)
		}
		return err
	}
	err := r.Fields(func(name string) error {
		switch name {
		case "crashes":
			return elements(r, crash)
		case "ends":
			var ends map[string]poison.Ends
			decoded, err := decode(&ends)
			if decoded {
				s.Ends = ends
			}
			return err
		default:
			return r.Skip()
		}
	})
	if err != nil {
		odd = err
	}
	return s, odd
}

// elements reads an array, and skips a value of another kind.
func elements(r *rawjson.Reader, element func() error) error {
	kind, err := r.Kind()
	if err != nil {
		return err
	}
	if kind != rawjson.Array {
		return r.Skip()
	}
	return r.Elements(element)
}

func encodeCrashes(crashes []poison.Crash) (s storedEvidence) {
	now := time.Now()
	for _, e := range crashes {
		n := min(len(e.Requests), maxStoredRequests)
		one := storedCrash{
			Server: e.Server.ID, Started: e.Server.Started, Service: e.Service, AtMs: now.Add(-e.Age).UnixMilli(),
			Requests: toHex(e.Requests[:n]), Holds: e.Holds[:min(len(e.Holds), n)],
		}
		for _, p := range e.Parts {
			one.Parts = append(one.Parts, storedPart{hexFingerprint(p.Own), hexFingerprint(p.Shared), p.Name})
		}
		s.Crashes = append(s.Crashes, one)
	}
	return s
}

// decodeCrashes returns the crashes that are not older than evidenceRetention.
func decodeCrashes(s storedEvidence) (r poison.Report) {
	now := time.Now()
	for _, one := range s.Crashes {
		age := max(now.Sub(time.UnixMilli(one.AtMs)), 0)
		if age > evidenceRetention {
			continue
		}
		e := poison.Crash{Server: placement.Incarnation{ID: one.Server, Started: one.Started}, Service: one.Service, Requests: fromHex(one.Requests), Holds: one.Holds, Age: age}
		for _, p := range one.Parts {
			e.Parts = append(e.Parts, poison.Part{Own: poison.Fingerprint(p.Own), Shared: poison.Fingerprint(p.Shared), Name: p.Name})
		}
		r.Crashes = append(r.Crashes, e)
	}
	return r
}
