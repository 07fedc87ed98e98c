package verdicts

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// Kind is the kind of the store objects that hold verdicts.
	Kind = "verdicts"
	// retryInitial is the delay before a failed store call is retried; it doubles up to
	// retryMax. Other routers already have the verdict in the meantime.
	retryInitial = 500 * time.Millisecond
	retryMax     = 8 * time.Second
	// verdictRetention is how long a verdict stays in the store after its quarantine has expired:
	// while it is there, a fleet that restarts needs only one crash for the next verdict.
	verdictRetention = 24 * time.Hour
	// writeDelay and writeJitter delay the write of a verdict by a router that has observed none of its crashes: those that
	// have write first, unless they end.
	writeDelay  = 50 * time.Millisecond
	writeJitter = 200 * time.Millisecond
)

// pendingWrite is the state that the store should reach for a request.
type pendingWrite struct {
	verdict poison.Verdict
	until   time.Time
	// lifted is set if the verdict is to be deleted from the store.
	lifted bool
	// notBefore is when the write is due.
	notBefore time.Time
}

// storedVerdict is the stored form of a verdict. Its times are wall clock times: errors of a
// few seconds do not matter to quarantines of a minute and more.
type storedVerdict struct {
	Number  int      `json:"number"`
	Service string   `json:"service"`
	Servers []string `json:"servers"`
	// Scope, Part and Also are those of the verdict; absent for a whole request.
	Scope poison.Scope     `json:"scope,omitempty"`
	Part  string           `json:"part,omitempty"`
	Also  []hexFingerprint `json:"also,omitempty"`
	// UntilMs is when the quarantine expires, in Unix milliseconds.
	UntilMs int64 `json:"untilMs"`
}

func storeKey(request poison.Fingerprint) string { return Kind + "/" + request.String() }

// enqueueWrite schedules a store write for a request, replacing an earlier one that is still
// pending. The caller holds c.mu.
func (c *Controller) enqueueWrite(request poison.Fingerprint, k pendingWrite) {
	c.pendingWrites[request] = k
	if delay := clock.Until(k.notBefore); delay > 0 {
		time.AfterFunc(delay, c.signalWrite)
		return
	}
	c.signalWrite()
}

func (c *Controller) signalWrite() {
	select {
	case c.writeSignal <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// dropKept drops the delayed writes of verdicts that another router has written. The caller holds c.mu.
func (c *Controller) dropKept(kept []poison.Lift) {
	for _, k := range kept {
		if w, ok := c.pendingWrites[k.Request]; ok && !w.lifted && w.verdict.Number <= k.Number {
			delete(c.pendingWrites, k.Request)
		}
	}
}

// writeVerdicts executes the pending store writes one at a time until the context ends.
func (c *Controller) writeVerdicts(ctx context.Context) {
	for c.Store != nil {
		request, k, ok := c.nextWrite()
		if !ok {
			select {
			case <-c.writeSignal:
				continue
			case <-ctx.Done():
				return
			}
		}
		c.retryStoreCall(ctx, "verdict not written to the store; retrying", func() error { return c.write(ctx, request, k) })
		if ctx.Err() != nil {
			return
		}
	}
}

// retryStoreCall repeats a store call with exponential backoff until it succeeds or the
// context ends, and logs message at each failure.
func (c *Controller) retryStoreCall(ctx context.Context, message string, call func() error) {
	for pause := retryInitial; ctx.Err() == nil; pause = min(2*pause, retryMax) {
		err := call()
		if err == nil {
			return
		}
		c.Log.Info(message, zap.Error(err))
		_ = wait.For(ctx, pause)
	}
}

func (c *Controller) nextWrite() (poison.Fingerprint, pendingWrite, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, k := range c.pendingWrites {
		if clock.Until(k.notBefore) > 0 {
			continue
		}
		delete(c.pendingWrites, request)
		return request, k, true
	}
	return poison.Fingerprint{}, pendingWrite{}, false
}

// write applies a pending write to the store. A verdict there with the same or a higher number
// is left unchanged.
func (c *Controller) write(ctx context.Context, request poison.Fingerprint, k pendingWrite) error {
	if k.lifted {
		return c.remove(ctx, request)
	}
	value, err := encodeVerdict(k.verdict, k.until)
	if err != nil {
		return err
	}
	_, err = c.Store.Create(ctx, storeKey(request), value)
	if err == nil {
		c.spread.Send(poison.Report{Kept: []poison.Lift{{Request: request, Number: k.verdict.Number}}})
	}
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	_, _, err = c.replace(ctx, k.verdict, value)
	return err
}

// replace replaces the verdict in the store by a later one with the given stored form, and a malformed one too. If that in the
// store has the same or a higher number, it is left unchanged and returned.
func (c *Controller) replace(ctx context.Context, v poison.Verdict, value []byte) (kept poison.Verdict, isKept bool, err error) {
	current, err := c.Store.Get(ctx, storeKey(v.Request))
	if err != nil {
		return kept, false, err
	}
	if kept, err = decodeVerdict(clock.Now(), current); err == nil && kept.Number >= v.Number {
		return kept, true, nil
	}
	_, err = c.Store.Update(ctx, current.Key, current.Version, value)
	return kept, false, err
}

// remove deletes a verdict from the store, if there is one.
func (c *Controller) remove(ctx context.Context, request poison.Fingerprint) error {
	current, err := c.Store.Get(ctx, storeKey(request))
	if err == nil {
		err = c.Store.Delete(ctx, storeKey(request), current.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// loadFromStore applies the verdicts and crashes in the store, which survive a crash of all routers. It calls answered when the
// store has answered or failed once.
func (c *Controller) loadFromStore(ctx context.Context, answered func()) {
	defer answered()
	if c.Store == nil {
		return
	}
	c.retryStoreCall(ctx, "verdicts not read from the store; retrying", func() error {
		list, err := c.listStored(ctx)
		defer answered()
		if err != nil {
			return err
		}
		c.applyStored(ctx, list)
		return nil
	})
}

func (c *Controller) listStored(ctx context.Context) ([]store.Object, error) {
	readsForOthers := c.ReadsForOthers != nil && c.ReadsForOthers()
	if c.Stale != nil && c.Stale() && !readsForOthers {
		list, _, err := store.ListStale(ctx, c.Store, Kind)
		return list, err
	}
	list, _, err := c.Store.List(ctx, Kind)
	return list, err
}

// applyStored applies verdicts read from the store and deletes those past verdictRetention.
func (c *Controller) applyStored(ctx context.Context, list []store.Object) {
	var r poison.Report
	now := clock.Now()
	for _, o := range list {
		if o.Key == evidenceKey {
			c.applyEvidence(o)
			continue
		}
		v, err := decodeVerdict(now, o)
		switch {
		case err != nil:
			c.Log.Warn("malformed verdict in the store ignored", zap.String("key", o.Key), zap.Error(err))
		case v.Remaining < -verdictRetention:
			if err := c.Store.Delete(ctx, o.Key, o.Version); err != nil {
				c.Log.Info("expired verdict not deleted from the store", zap.String("key", o.Key), zap.Error(err)) // retried at the next start
			}
		default:
			r.Verdicts = append(r.Verdicts, v)
		}
	}
	if !r.IsEmpty() {
		c.apply(r, origin{name: "store"})
	}
}

// encodeVerdict returns the stored form of a verdict that is in force until a time.
func encodeVerdict(v poison.Verdict, until time.Time) ([]byte, error) {
	return json.Marshal(storedVerdict{
		Number: v.Number, Service: v.Service, Servers: v.Servers, Scope: v.Scope, Part: v.Part, Also: toHex(v.Also),
		UntilMs: time.Now().Add(clock.Until(until)).UnixMilli(),
	})
}

func decodeVerdict(now time.Time, o store.Object) (poison.Verdict, error) {
	_, name, _ := strings.Cut(o.Key, "/")
	request, err := poison.Parse(name)
	if err != nil {
		return poison.Verdict{}, err
	}
	var s storedVerdict
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return poison.Verdict{}, err
	}
	remaining := time.Duration(s.UntilMs-now.UnixMilli()) * time.Millisecond
	return poison.Verdict{Request: request, Scope: s.Scope, Part: s.Part, Also: fromHex(s.Also), Number: s.Number, Service: s.Service, Servers: s.Servers, Remaining: remaining}, nil
}
