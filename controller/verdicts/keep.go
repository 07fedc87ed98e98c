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
	// Kind is the kind of the verdicts in the store.
	Kind = "verdicts"
	// retryFirst is the pause after a call that failed; it doubles up to retryLongest.
	// Other routers have the verdict meanwhile.
	retryFirst   = 500 * time.Millisecond
	retryLongest = 8 * time.Second
	// keptFor is how long after its hold a verdict stays in the store: a fleet that
	// starts anew then needs one end for the next one.
	keptFor = 24 * time.Hour
)

// keeping is what the store should hold of a request.
type keeping struct {
	verdict poison.Verdict
	until   time.Time
	// lifted tells that it should hold nothing.
	lifted bool
}

// stored is a verdict as it lies in the store. Times there are of the wall clock, whose
// errors of seconds do not matter to holds of a minute and more.
type stored struct {
	Number  int      `json:"number"`
	Service string   `json:"service"`
	Servers []string `json:"servers"`
	// UntilMs is until when it holds, in Unix milliseconds.
	UntilMs int64 `json:"untilMs"`
}

func keyOf(request poison.Fingerprint) string { return Kind + "/" + request.String() }

// keepLater has the store follow. It is called under the lock.
func (c *Controller) keepLater(request poison.Fingerprint, k keeping) {
	c.toKeep[request] = k
	select {
	case c.kept <- struct{}{}:
	default: // it is awake already
	}
}

// keepVerdicts writes to the store what it should hold, one after the other.
func (c *Controller) keepVerdicts(ctx context.Context) {
	for c.Store != nil {
		request, k, ok := c.nextToKeep()
		if !ok {
			select {
			case <-c.kept:
				continue
			case <-ctx.Done():
				return
			}
		}
		c.untilDone(ctx, "verdict not kept", func() error { return c.put(ctx, request, k) })
		if ctx.Err() != nil {
			return
		}
	}
}

// untilDone repeats a call to the store with longer and longer pauses.
func (c *Controller) untilDone(ctx context.Context, what string, call func() error) {
	for pause := retryFirst; ctx.Err() == nil; pause = min(2*pause, retryLongest) {
		err := call()
		if err == nil {
			return
		}
		c.Log.Info(what, zap.Error(err))
		_ = wait.For(ctx, pause)
	}
}

func (c *Controller) nextToKeep() (poison.Fingerprint, keeping, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for request, k := range c.toKeep {
		delete(c.toKeep, request)
		return request, k, true
	}
	return poison.Fingerprint{}, keeping{}, false
}

// put makes the store hold what it should. A newer verdict that lies there stays.
func (c *Controller) put(ctx context.Context, request poison.Fingerprint, k keeping) error {
	if k.lifted {
		return c.remove(ctx, request)
	}
	v := stored{Number: k.verdict.Number, Service: k.verdict.Service, Servers: k.verdict.Servers}
	v.UntilMs = time.Now().Add(clock.Until(k.until)).UnixMilli()
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = c.Store.Create(ctx, keyOf(request), value)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	lies, err := c.Store.Get(ctx, keyOf(request))
	if err != nil {
		return err
	}
	var there stored
	if json.Unmarshal(lies.Value, &there) == nil && there.Number >= v.Number {
		return nil
	}
	_, err = c.Store.Update(ctx, keyOf(request), lies.Version, value)
	return err
}

// remove removes a verdict from the store, if it is there.
func (c *Controller) remove(ctx context.Context, request poison.Fingerprint) error {
	lies, err := c.Store.Get(ctx, keyOf(request))
	if err == nil {
		err = c.Store.Delete(ctx, keyOf(request), lies.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

// load reads the verdicts that lie in the store, which outlast the death of all routers.
func (c *Controller) load(ctx context.Context) {
	if c.Store == nil {
		return
	}
	c.untilDone(ctx, "verdicts not read from the store", func() error {
		list, err := c.list(ctx)
		if err != nil {
			return err
		}
		c.loaded(ctx, list)
		return nil
	})
}

func (c *Controller) list(ctx context.Context) ([]store.Object, error) {
	if c.Stale != nil && c.Stale() {
		list, _, err := store.ListStale(ctx, c.Store, Kind)
		return list, err
	}
	list, _, err := c.Store.List(ctx, Kind)
	return list, err
}

// loaded takes what lay in the store, and removes what has long been of no use.
func (c *Controller) loaded(ctx context.Context, list []store.Object) {
	var r poison.Report
	now := clock.Now()
	for _, o := range list {
		v, err := decode(now, o)
		switch {
		case err != nil:
			c.Log.Warn("verdict in the store is not readable", zap.String("key", o.Key), zap.Error(err))
		case v.HeldFor < -keptFor:
			if err := c.Store.Delete(ctx, o.Key, o.Version); err != nil {
				c.Log.Info("old verdict not removed", zap.String("key", o.Key), zap.Error(err)) // the next start tries again
			}
		default:
			r.Verdicts = append(r.Verdicts, v)
		}
	}
	if !r.IsEmpty() {
		c.take(r, origin{name: "store"})
	}
}

func decode(now time.Time, o store.Object) (poison.Verdict, error) {
	_, name, _ := strings.Cut(o.Key, "/")
	request, err := poison.Parse(name)
	if err != nil {
		return poison.Verdict{}, err
	}
	var s stored
	if err := json.Unmarshal(o.Value, &s); err != nil {
		return poison.Verdict{}, err
	}
	held := time.Duration(s.UntilMs-now.UnixMilli()) * time.Millisecond
	return poison.Verdict{Request: request, Number: s.Number, Service: s.Service, Servers: s.Servers, HeldFor: held}, nil
}
