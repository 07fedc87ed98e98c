// Package ledgers runs the ledger shards: it submits claims and bills to the shard
// owners, and acts as owner of the shards for which this router is ranked first.
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
	tickInterval = 5 * time.Millisecond
	// submitTimeout bounds one submission of an op to an owner.
	submitTimeout = 1500 * time.Millisecond
	// runningTimeout bounds the query whether a holder still runs a request.
	runningTimeout = 500 * time.Millisecond
	// maxSubmitTries is the number of owners to which an op is submitted at most, in rank
	// order until one answers.
	maxSubmitTries = 3
	// resubmitInterval is the interval at which unrecorded bills are submitted again.
	resubmitInterval = 500 * time.Millisecond
	evictInterval    = 10 * time.Second
)

var errNoOwner = errors.New("no ledger shard owner answers")

// Controller runs the shards. It is safe for concurrent use.
type Controller struct {
	store       store.Store
	members     *members.Controller
	peers       *peer.Client
	log         *zap.Logger
	incarnation string
	shardCount  int

	mu       sync.Mutex
	shards   []*lockedShard
	token    uint64
	waiting  map[uint64]chan ledger.Outcome
	running  map[string]bool
	bills    map[string]ledger.Op // not known to be committed
	fenced   map[string]bool      // incarnations whose claims are rejected
	tasks    sync.WaitGroup
	onFenced func()
}

// StopFenced calls onFenced. It is used when this router learns that it has been fenced.
func (c *Controller) StopFenced() { c.onFenced() }

// lockedShard is a ledger shard with its lock.
type lockedShard struct {
	mu    sync.Mutex
	shard *ledger.Shard
}

// New returns a controller of count shards, which share cfg. onFenced is called when
// this router learns that it has been fenced.
func New(cfg ledger.Config, count int, s store.Store, m *members.Controller, p *peer.Client, log *zap.Logger, onFenced func()) *Controller {
	c := &Controller{
		store:       s,
		members:     m,
		peers:       p,
		log:         log,
		incarnation: cfg.Owner,
		shardCount:  count,
		waiting:     map[uint64]chan ledger.Outcome{},
		running:     map[string]bool{},
		bills:       map[string]ledger.Op{},
		fenced:      map[string]bool{},
		onFenced:    onFenced,
	}
	for n := range count {
		cfg.Shard = n
		c.shards = append(c.shards, &lockedShard{shard: ledger.NewShard(cfg)})
	}
	return c
}

// Run ticks the shards until the context is cancelled.
func (c *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	resubmit := time.NewTicker(resubmitInterval)
	defer resubmit.Stop()
	forget := time.NewTicker(evictInterval)
	defer forget.Stop()
	for {
		select {
		case <-tick.C:
			c.tick()
		case <-resubmit.C:
			c.goTask(c.resubmit)
		case <-forget.C:
			c.evict()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) tick() {
	for n := range c.shards {
		c.withShard(n, func(now time.Time, s *ledger.Shard) []ledger.Effect { return s.Tick(now) })
	}
}

func (c *Controller) evict() {
	for n := range c.shards {
		c.withShard(n, func(now time.Time, s *ledger.Shard) []ledger.Effect {
			s.EvictFinished(now)
			return nil
		})
	}
}

func (c *Controller) withShard(n int, call func(time.Time, *ledger.Shard) []ledger.Effect) {
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
		c.goTask(func() { c.load(e.Shard) })
	case ledger.Append:
		c.goTask(func() { c.append(e) })
	}
}

func (c *Controller) goTask(task func()) {
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
			c.log.Error("cannot decode ledger segment", zap.String("key", o.Key), zap.Error(decodeErr))
			err = decodeErr
			break
		}
		segments = append(segments, seg)
		version = o.Version
	}
	if err == nil && !ledger.IsCompleteLog(segments) {
		c.log.Error("ledger log is incomplete; the shard retries the load", zap.Int("shard", n), zap.Int("segments", len(segments)))
	}
	c.withShard(n, func(now time.Time, s *ledger.Shard) []ledger.Effect {
		return s.Loaded(now, segments, version, classify(err))
	})
}

func (c *Controller) append(a ledger.Append) {
	key := ledger.SegmentKey(a.Shard, a.Segment.Number)
	o, err := store.Put(context.Background(), c.store, key, a.Version, a.Segment.Encode())
	c.withShard(a.Shard, func(now time.Time, s *ledger.Shard) []ledger.Effect {
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
		return ledger.ResultUnknown
	}
}

// Submit submits an op to this router as owner of shard n, and waits for the
// outcome.
func (c *Controller) Submit(ctx context.Context, n int, op ledger.Op) (ledger.Outcome, error) {
	if n < 0 || n >= c.shardCount {
		return ledger.Outcome{}, errNoOwner
	}
	ch := make(chan ledger.Outcome, 1)
	c.mu.Lock()
	if op.Kind == ledger.Claim && c.fenced[op.Holder] {
		c.mu.Unlock()
		return ledger.Outcome{Decision: ledger.Fenced}, nil
	}
	c.token++
	token := c.token
	c.waiting[token] = ch
	c.mu.Unlock()
	c.withShard(n, func(now time.Time, s *ledger.Shard) []ledger.Effect { return s.Submit(now, op, token) })
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

// Flush waits until all bills are recorded and no shard has ops to commit, or the
// context is cancelled.
func (c *Controller) Flush(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for c.Unrecorded() > 0 || !c.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			c.log.Warn("stopped waiting for bills to be recorded", zap.Int("unrecorded", c.Unrecorded()))
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

// Wait waits for background tasks to finish. Call it after Run has returned.
func (c *Controller) Wait() { c.tasks.Wait() }
