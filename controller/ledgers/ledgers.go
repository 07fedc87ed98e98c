// Package ledgers runs the ledger shards: it submits claims and bills to the
// shard owners, and acts as the owner for the shards ranked here.
package ledgers

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	tickEvery = 5 * time.Millisecond
	// submitTimeout bounds one submission to an owner.
	submitTimeout = 1500 * time.Millisecond
	// runningTimeout bounds the question whether a holder still runs a request.
	runningTimeout = 500 * time.Millisecond
	// submitTries is how many owners, in rank order, a submission is offered.
	submitTries = 3
	// resubmitEvery is how often unrecorded bills are submitted again.
	resubmitEvery = 500 * time.Millisecond
	forgetEvery   = 10 * time.Second
)

var errNoOwner = errors.New("no shard owner answers")

// Controller runs the shards. It is safe for concurrent use.
type Controller struct {
	store       store.Store
	members     *members.Controller
	peers       *peer.Client
	log         *zap.Logger
	incarnation string
	count       int

	mu      sync.Mutex
	shards  []*shard
	token   uint64
	waiting map[uint64]chan ledger.Outcome
	running map[string]bool
	bills   map[string]ledger.Op // not known to be committed
	fenced  map[string]bool      // incarnations that may claim nothing
	tasks   sync.WaitGroup
	onStop  func()
}

// Stop is called when this router finds itself fenced.
func (c *Controller) Stop() { c.onStop() }

// shard is a pure shard with its lock.
type shard struct {
	mu    sync.Mutex
	shard *ledger.Shard
}

// New returns a controller of count shards; cfg is the same for all. onStop is
// called when this router finds itself fenced.
func New(cfg ledger.Config, count int, s store.Store, m *members.Controller, p *peer.Client, log *zap.Logger, onStop func()) *Controller {
	c := &Controller{
		store:       s,
		members:     m,
		peers:       p,
		log:         log,
		incarnation: cfg.Owner,
		count:       count,
		waiting:     map[uint64]chan ledger.Outcome{},
		running:     map[string]bool{},
		bills:       map[string]ledger.Op{},
		fenced:      map[string]bool{},
		onStop:      onStop,
	}
	for n := range count {
		cfg.Shard = n
		c.shards = append(c.shards, &shard{shard: ledger.NewShard(cfg)})
	}
	return c
}

// Run ticks the shards until the context ends.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	resubmit := time.NewTicker(resubmitEvery)
	defer resubmit.Stop()
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case <-tick.C:
			c.tick()
		case <-resubmit.C:
			c.start(c.resubmit)
		case <-forget.C:
			c.forget()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) tick() {
	for n := range c.shards {
		c.with(n, func(now time.Time, s *ledger.Shard) []ledger.Effect { return s.Tick(now) })
	}
}

func (c *Controller) forget() {
	for n := range c.shards {
		c.with(n, func(now time.Time, s *ledger.Shard) []ledger.Effect {
			s.EvictFinished(now)
			return nil
		})
	}
}

func (c *Controller) with(n int, call func(time.Time, *ledger.Shard) []ledger.Effect) {
	sh := c.shards[n]
	sh.mu.Lock()
	effects := call(clock.Now(), sh.shard)
	sh.mu.Unlock()
	for _, e := range effects {
		c.perform(e)
	}
}

func (c *Controller) perform(e ledger.Effect) {
	switch e := e.(type) {
	case ledger.Reply:
		c.reply(e)
	case ledger.Load:
		c.start(func() { c.load(e.Shard) })
	case ledger.Append:
		c.start(func() { c.append(e) })
	}
}

func (c *Controller) start(task func()) {
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		task()
	}()
}

func (c *Controller) reply(r ledger.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.waiting[r.Token]; ok {
		delete(c.waiting, r.Token)
		ch <- r.Outcome
	}
}

func (c *Controller) load(n int) {
	objects, _, err := c.store.List(context.Background(), ledger.Prefix(n))
	segments := make([]*ledger.Segment, 0, len(objects))
	var version int64
	for _, o := range objects {
		seg, decodeErr := ledger.DecodeSegment(o.Value)
		if decodeErr != nil {
			c.log.Error("ledger segment is not readable", zap.String("key", o.Key), zap.Error(decodeErr))
			err = decodeErr
			break
		}
		segments = append(segments, seg)
		version = o.Version
	}
	if err == nil && !ledger.IsCompleteLog(segments) {
		c.log.Error("ledger log has a hole; the shard waits for it", zap.Int("shard", n), zap.Int("segments", len(segments)))
	}
	c.with(n, func(now time.Time, s *ledger.Shard) []ledger.Effect {
		return s.Loaded(now, segments, version, classify(err))
	})
}

func (c *Controller) append(a ledger.Append) {
	key := ledger.SegmentKey(a.Shard, a.Segment.Number)
	o, err := store.Put(context.Background(), c.store, key, a.Version, a.Segment.Encode())
	c.with(a.Shard, func(now time.Time, s *ledger.Shard) []ledger.Effect {
		return s.Appended(now, o.Version, classify(err))
	})
}

func classify(err error) ledger.Result {
	switch {
	case err == nil:
		return ledger.Done
	case errors.Is(err, store.ErrConflict):
		return ledger.Conflict
	case errors.Is(err, store.ErrUnavailable):
		return ledger.Unavailable
	default:
		return ledger.Lost
	}
}

// Submit asks this router, as a shard's owner, for an op.
func (c *Controller) Submit(ctx context.Context, n int, op ledger.Op) (ledger.Outcome, error) {
	if n < 0 || n >= c.count {
		return ledger.Outcome{}, errNoOwner
	}
	ch := make(chan ledger.Outcome, 1)
	c.mu.Lock()
	if op.Kind == ledger.Claim && c.fenced[op.Holder] {
		c.mu.Unlock()
		return ledger.Outcome{Verdict: ledger.Fenced}, nil
	}
	c.token++
	token := c.token
	c.waiting[token] = ch
	c.mu.Unlock()
	c.with(n, func(now time.Time, s *ledger.Shard) []ledger.Effect { return s.Submit(now, op, token) })
	select {
	case outcome := <-ch:
		return outcome, nil
	case <-ctx.Done():
		c.mu.Lock()
		delete(c.waiting, token)
		c.mu.Unlock()
		return ledger.Outcome{}, ctx.Err()
	}
}

// Flush waits until no bill is unrecorded and no shard has something to
// commit, or the context ends.
func (c *Controller) Flush(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for c.Unrecorded() > 0 || !c.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn("bills not flushed", zap.Int("unrecorded", c.Unrecorded()))
			return
		}
	}
}

func (c *Controller) idle() bool {
	for _, sh := range c.shards {
		sh.mu.Lock()
		idle := sh.shard.Idle()
		sh.mu.Unlock()
		if !idle {
			return false
		}
	}
	return true
}

// Wait waits for calls in progress. Call it after Run has ended.
func (c *Controller) Wait() { c.tasks.Wait() }
