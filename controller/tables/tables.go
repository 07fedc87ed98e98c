// Package tables keeps the configuration current and decides operators'
// changes for the whole fleet.
//
// A change is written as a proposal to the store's log, acknowledged by every
// listed router, and then committed by a conditional update of that log entry. If
// a router does not acknowledge, the change is refused and the router is named. Only
// the conditional update decides the outcome, so any router may finalize a proposal
// whose proposer has died.
package tables

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/table"
	"github.com/gaplink/gaplink/wait"
)

const (
	watchTimeout = 20 * time.Second
	retryDelay   = 300 * time.Millisecond
	// abandonAfter is the age at which any router may refuse an undecided
	// proposal.
	abandonAfter = 10 * time.Second
	// decideTimeout bounds the broadcast of an outcome and the peer queries of
	// VerifyCurrent.
	decideTimeout = time.Second
	// pollInterval is the interval at which a router reads the outcome of an
	// undecided change.
	pollInterval = 500 * time.Millisecond
)

// Options are the settings of the controller.
type Options struct {
	// DecideWithin is how long an acknowledged change may stay undecided
	// before requests that use its rows are refused.
	DecideWithin time.Duration
	// AckWithin is how long a proposer waits for all acknowledgements.
	AckWithin time.Duration
}

// Controller keeps the configuration. It is safe for concurrent use.
type Controller struct {
	store   store.Store
	members *members.Controller
	peers   *peer.Client
	log     *zap.Logger
	opts    Options

	mu          sync.Mutex
	participant *table.Participant
	state       atomic.Pointer[table.State]
	onChange    []func(*table.State)
	ready       atomic.Bool
	proposeMu   sync.Mutex
}

// New returns a controller with the empty configuration.
func New(s store.Store, m *members.Controller, p *peer.Client, log *zap.Logger, opts Options) *Controller {
	c := &Controller{
		store:       s,
		members:     m,
		peers:       p,
		log:         log,
		opts:        opts,
		participant: table.NewParticipant(opts.DecideWithin),
	}
	c.state.Store(c.participant.State())
	return c
}

// OnChange registers a function that is called with each new configuration. Call it
// before Run.
func (c *Controller) OnChange(fn func(*table.State)) {
	c.onChange = append(c.onChange, fn)
}

// State returns the configuration in force. Callers must not change it.
func (c *Controller) State() *table.State { return c.state.Load() }

// Ready reports whether the configuration has been read from the store, and the list of routers that share the limits.
func (c *Controller) Ready() bool { return c.ready.Load() && c.members.Known() > 0 }

// Blocked reports whether requests of account for target are blocked by an undecided
// change.
func (c *Controller) Blocked(account, target string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.participant.Blocked(clock.Now(), account, target)
}

// Routers returns the number of routers that share the limits of the fleet, at least 1. Routers that do not answer
// count: they may only be cut off from this one.
func (c *Controller) Routers() int { return max(c.members.Known(), 1) }

// Run reads the store's log and applies its changes until the context is cancelled.
func (c *Controller) Run(ctx context.Context) {
	go c.pollPending(ctx)
	var since int64
	for ctx.Err() == nil {
		if !c.ready.Load() || since == 0 {
			since = c.reload(ctx)
			if since == 0 {
				_ = wait.For(ctx, retryDelay)
				continue
			}
		}
		since = c.watch(ctx, since)
	}
}

// reload reads the whole log and returns the store revision at which it was read, or
// 0 if the store did not answer.
func (c *Controller) reload(ctx context.Context) int64 {
	objects, rev, err := c.store.List(ctx, table.LogPrefix)
	if err != nil {
		return 0
	}
	c.applyEntries(objects)
	c.ready.Store(true)
	return max(rev, 1)
}

// watch waits for changes of the log and returns the revision to watch from next, or
// 0 if the log must be listed again.
func (c *Controller) watch(ctx context.Context, since int64) int64 {
	ev, err := c.store.Watch(ctx, table.LogPrefix, since, watchTimeout)
	if err != nil {
		_ = wait.For(ctx, retryDelay)
		return since
	}
	if ev.Gap {
		return 0
	}
	c.applyEntries(ev.Objects)
	return max(ev.Revision, since)
}

// applyEntries applies log entries in order.
func (c *Controller) applyEntries(objects []store.Object) {
	for _, o := range objects {
		change, err := table.DecodeChange(o.Value)
		if err != nil {
			c.log.Error("cannot decode configuration log entry", zap.String("key", o.Key), zap.Error(err))
			continue
		}
		if change.Status == table.Proposed {
			c.prepare(change)
			continue
		}
		c.Decide(change)
	}
}

func (c *Controller) prepare(change table.Change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.participant.Prepare(clock.Now(), change)
}

// Decide applies a decided change and returns the revision in force afterwards.
func (c *Controller) Decide(change table.Change) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.participant.Decide(change) {
		s := c.participant.State()
		c.state.Store(s)
		for _, fn := range c.onChange {
			fn(s)
		}
	}
	return c.participant.State().Revision
}

// Prepare acknowledges a proposal, reloading the log from the store first if
// needed. It returns whether the proposal is acknowledged and the revision in force.
func (c *Controller) Prepare(ctx context.Context, change table.Change) (ok bool, revision int64) {
	if !c.prepare(change) {
		c.reload(ctx)
		ok = c.prepare(change)
		return ok, c.State().Revision
	}
	return true, c.State().Revision
}

// pollPending periodically reads the outcome of an undecided change until the context is
// cancelled. It refuses a proposal that is older than abandonAfter: its proposer is taken
// to be dead.
func (c *Controller) pollPending(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.resolvePending(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) resolvePending(ctx context.Context) {
	c.mu.Lock()
	revision := c.participant.Pending()
	c.mu.Unlock()
	if revision == 0 {
		return
	}
	o, err := c.store.Get(ctx, table.LogKey(revision))
	if err != nil {
		return
	}
	change, err := table.DecodeChange(o.Value)
	if err != nil {
		return
	}
	if change.Status == table.Proposed && time.Since(change.At) > abandonAfter {
		change, err = c.finalize(ctx, change, o.Version, table.Refused, []string{"proposer gone"})
		if err != nil {
			return
		}
	}
	c.Decide(change)
}

// maxProposeTries is the number of times that a change is proposed if other proposals
// take its revision but do not conflict with it.
const maxProposeTries = 3

// Propose proposes a change to the fleet and decides it. skip lists instances that
// the operator attests to be terminated; they need not acknowledge. The returned
// change is final unless its proposal or decision could not be written.
func (c *Controller) Propose(ctx context.Context, change table.Change, skip []string) (table.Change, error) {
	c.proposeMu.Lock()
	defer c.proposeMu.Unlock()
	change.Skipped = skip
	proposed, version, err := c.writeProposal(ctx, change)
	if err != nil {
		return change, err
	}
	missing := c.collectAcks(ctx, proposed, skip)
	status := table.Committed
	if len(missing) > 0 {
		status = table.Refused
	}
	final, err := c.finalize(ctx, proposed, version, status, missing)
	if err != nil {
		return change, err
	}
	c.Decide(final)
	c.broadcast(ctx, final)
	return final, outcomeError(final)
}

// writeProposal checks a change and writes its proposal to the log, assuming that the
// local configuration is the newest. If the log has a newer one, the log is read and
// the change is checked again.
func (c *Controller) writeProposal(ctx context.Context, change table.Change) (table.Change, int64, error) {
	var err error
	for range maxProposeTries {
		s := c.State()
		if err = table.Check(s, change); err != nil {
			return change, 0, err
		}
		change.Revision = s.Revision + 1
		change.Status = table.Proposed
		change.At = time.Now().UTC()
		recordBefore(s, &change)
		var version int64
		if version, err = c.createEntry(ctx, change); err == nil {
			return change, version, nil
		}
		if result.From(err).Code != result.RowConflict || c.reload(ctx) == 0 || c.State().Revision == s.Revision {
			break
		}
	}
	return change, 0, err
}

// outcomeError returns nil for a committed change and an error that lists the missing
// acknowledgements for a refused one.
func outcomeError(final table.Change) error {
	if final.Status == table.Committed {
		return nil
	}
	return result.New(result.CannotFollow, "refused; could not follow: %v", final.Missing)
}

// recordBefore stores the value that each edit replaces, for the audit trail.
func recordBefore(s *table.State, change *table.Change) {
	for i := range change.Edits {
		e := &change.Edits[i]
		if o, ok := s.Object(e.Kind, e.Name); ok {
			e.Before = o.Value
		}
	}
}

// createEntry writes the proposal to the log. It returns a RowConflict error that names
// the other operator if another proposal has taken the revision.
func (c *Controller) createEntry(ctx context.Context, change table.Change) (int64, error) {
	key := table.LogKey(change.Revision)
	listed := make(chan struct{})
	go func() { // in parallel with the create, so that a slow store delays the change only once
		defer close(listed)
		c.members.Refresh(ctx)
	}()
	o, err := c.store.Create(ctx, key, change.Encode())
	<-listed
	if err == nil {
		return o.Version, nil
	}
	if errors.Is(err, store.ErrUnavailable) {
		return 0, result.New(result.StoreUnavailable, "no change can be accepted while the store does not answer").Wrap(err)
	}
	o, getErr := c.store.Get(ctx, key)
	if getErr != nil {
		return 0, result.New(result.ChangeOutcomeLost, "the store did not confirm the proposal; it is refused unless the audit trail shows it").Wrap(err)
	}
	stored, decodeErr := table.DecodeChange(o.Value)
	if decodeErr == nil && stored.ID == change.ID {
		return o.Version, nil
	}
	return 0, result.New(result.RowConflict, "another operator (%s) is changing the table; look again and repeat", stored.Operator)
}

// collectAcks asks all members except those in skip to acknowledge a change and
// returns the IDs of those that did not.
func (c *Controller) collectAcks(ctx context.Context, change table.Change, skip []string) []string {
	ctx, cancel := context.WithTimeout(ctx, c.opts.AckWithin)
	defer cancel()
	skipped := map[string]bool{}
	for _, id := range skip {
		skipped[id] = true
	}
	var mu sync.Mutex
	var missing []string
	var wg sync.WaitGroup
	for _, m := range c.members.Members() {
		if skipped[m.ID] {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !c.acknowledged(ctx, m.ID, change) {
				mu.Lock()
				missing = append(missing, m.ID)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return missing
}

// acknowledged asks one router repeatedly until it acknowledges the change or the
// context ends.
func (c *Controller) acknowledged(ctx context.Context, id string, change table.Change) bool {
	if id == c.members.Self().ID {
		return c.prepare(change)
	}
	for ctx.Err() == nil {
		addr, ok := c.members.Addr(id)
		if !ok {
			return false
		}
		resp, err := peer.Call[peer.PrepareRequest, peer.PrepareAnswer](ctx, c.peers, addr, peer.MethodPrepare, &peer.PrepareRequest{Change: change})
		if err == nil && resp.OK {
			return true
		}
		_ = wait.For(ctx, retryDelay/3)
	}
	return false
}

// finalize decides a log entry by a conditional update and returns the decided change
// as stored in the log, which may be the decision of another router.
func (c *Controller) finalize(ctx context.Context, change table.Change, version int64, status table.Status, missing []string) (table.Change, error) {
	final := change
	final.Status = status
	final.Missing = missing
	key := table.LogKey(change.Revision)
	_, err := c.store.Update(ctx, key, version, final.Encode())
	if err == nil {
		return final, nil
	}
	for range 3 {
		o, getErr := c.store.Get(ctx, key)
		if getErr != nil {
			_ = wait.For(ctx, retryDelay)
			continue
		}
		stored, decodeErr := table.DecodeChange(o.Value)
		if decodeErr == nil && stored.Status != table.Proposed {
			return stored, nil
		}
		if o.Version == version {
			if _, err = c.store.Update(ctx, key, version, final.Encode()); err == nil {
				return final, nil
			}
		}
	}
	return change, result.New(result.ChangeOutcomeLost, "the store did not confirm the decision").Wrap(err)
}

// broadcast sends the outcome to all members. Members that do not receive it read it
// from the store.
func (c *Controller) broadcast(ctx context.Context, final table.Change) {
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range c.members.Members() {
		if m.ID == c.members.Self().ID {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := peer.Call[peer.DecideRequest, peer.DecideAnswer](ctx, c.peers, m.Addr, peer.MethodDecide, &peer.DecideRequest{Change: final})
			if err != nil {
				c.log.Info("could not send the outcome of a configuration change", zap.String("instance", m.ID), zap.Error(err))
			}
		}()
	}
	wg.Wait()
}

// Log returns the whole configuration log, including refused changes.
func (c *Controller) Log(ctx context.Context) ([]table.Change, error) {
	objects, _, err := c.store.List(ctx, table.LogPrefix)
	if err != nil {
		return nil, result.New(result.StoreUnavailable, "the store does not answer").Wrap(err)
	}
	var changes []table.Change
	for _, o := range objects {
		change, err := table.DecodeChange(o.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// VerifyCurrent verifies, after the process was paused, that the local configuration is
// current. It reloads the log from the store; if the store does not answer, it asks the
// peers until one has no newer revision.
func (c *Controller) VerifyCurrent(ctx context.Context) bool {
	if c.reload(ctx) != 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, decideTimeout)
	defer cancel()
	for _, m := range c.members.Members() {
		if m.ID == c.members.Self().ID {
			continue
		}
		resp, err := peer.Call[peer.PrepareRequest, peer.PrepareAnswer](ctx, c.peers, m.Addr, peer.MethodPrepare, &peer.PrepareRequest{})
		if err == nil && resp.Revision <= c.State().Revision {
			return true
		}
	}
	return false
}
