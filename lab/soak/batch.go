package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/platform/standin"
)

// Batch is a number of requests that arrive together at one router. In the first half of a run batches are small and
// rare, so that the router which draws the budget for the fleet holds much ahead, most of it in escrow. Then a large
// one arrives, just after a write of that router, and the router is killed. In the second half batches use up what is left of the budget: tokens that
// were granted and reclaimed show only then.
type Batch struct {
	At       time.Duration
	Requests int
	// KillHolder is set if the router that has the most tokens of the budget in escrow is killed KillAfter the batch;
	// it stays down for Downtime.
	KillHolder          bool
	KillAfter, Downtime time.Duration
}

// HolderKilled is the kill of the router with the most tokens of a budget in escrow. Batches draw it, a schedule does
// not.
const HolderKilled Fault = "largest holder of a budget killed"

const (
	// batchStream is the stream of random numbers from which the batches are drawn.
	batchStream = 1 << 33
	// batchTokens is the number of tokens of a request of a batch, of which a full answer takes answerTokens.
	batchTokens  = 1000
	answerTokens = maxEvents * eventTokens
	// smallBatch, killBatch and largeBatch are numbers of requests; small batches are rareInterval apart on average,
	// large ones drainInterval. A killBatch is the one before the kill.
	smallBatch, killBatch, largeBatch = 10, 120, 50
	rareInterval, drainInterval       = 1200 * time.Millisecond, 700 * time.Millisecond
	// The holder is killed minKillDelay to maxKillDelay after a batch, and starts again within maxDowntime.
	minKillDelay, maxKillDelay = 50 * time.Millisecond, 150 * time.Millisecond
	maxDowntime                = 300 * time.Millisecond
	// renewalTimeout bounds the wait for a write of the holder, which is looked for each writePollInterval.
	renewalTimeout, writePollInterval = 4 * time.Second, 5 * time.Millisecond
)

// batchAccount pays for the batches.
var batchAccount = account{"batches", 300_000, 10_000}

// Batches draws the batches of a run.
func Batches(seed uint64, length time.Duration) (list []Batch) {
	rng := rand.New(rand.NewPCG(seed, batchStream))
	half := length / 2
	for at := quietMargin; at < half; at += time.Duration(rng.ExpFloat64() * float64(rareInterval)) {
		list = append(list, Batch{At: at, Requests: smallBatch})
	}
	list = append(list, Batch{
		At: half, Requests: killBatch, KillHolder: true,
		KillAfter: minKillDelay + time.Duration(rng.Int64N(int64(maxKillDelay-minKillDelay))), Downtime: time.Duration(rng.Int64N(int64(maxDowntime))),
	})
	for at := half + maxKillDelay + maxDowntime; at < length-quietMargin; at += time.Duration(rng.ExpFloat64() * float64(drainInterval)) {
		list = append(list, Batch{At: at, Requests: largeBatch})
	}
	return list
}

// calmBefore leaves out the faults of routers and of the store before the kill of the holder, since a router that has
// just started, or lost the store, draws nothing ahead.
func calmBefore(half time.Duration, steps []Step) []Step {
	return slices.DeleteFunc(steps, func(s Step) bool {
		target := faultSpecs[s.Fault].target
		return s.At < half && s.Fault != ConfigChanged && (target == routerTarget || target == storeTarget)
	})
}

// runBatches sends the batches at their times, all to one router.
func (f *fleet) runBatches(ctx context.Context, seed uint64, list []Batch) {
	start := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	c := newCaller(callerCount, seed, f.routers, f.oracle, f.counters)
	defer c.client.CloseIdleConnections()
	edge := f.routers[int(seed%uint64(len(f.routers)))]
	for n, b := range list {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(b.At))):
		}
		if b.KillHolder {
			f.awaitEscrow(ctx)
		}
		for i := range b.Requests {
			t := batchRequest(fmt.Sprintf("%d.batch.%d.%d", seed, n, i), edge)
			running.Go(func() { c.send(t) })
		}
		if b.KillHolder {
			running.Go(func() { f.killHolder(ctx, b) })
		}
	}
}

// awaitEscrow waits until the largest holder has written the page again, so that most of what it holds is in escrow. It
// gives up after renewalTimeout.
func (f *fleet) awaitEscrow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	_, before, _ := f.largestHolder(batchAccount.name) // an error shows at the kill
	for ctx.Err() == nil {
		if _, at, err := f.largestHolder(batchAccount.name); err != nil || at != before {
			return
		}
		time.Sleep(writePollInterval)
	}
}

// batchRequest returns a request for a stream that may be taken up, with a full answer.
func batchRequest(id string, to *router) plannedRequest {
	t := plannedRequest{router: to}
	t.request = Request{ID: id, Account: batchAccount.name, Deadline: deadline, Events: maxEvents, TokensIn: batchTokens - answerTokens, EventTokens: eventTokens}
	t.call = standin.Call{
		Path: "/" + requestKinds[0].route.Name + "/x", ID: id, Key: batchAccount.key(), Body: "body of " + id, Deadline: deadline,
		TokensIn: batchTokens - answerTokens, MaxTokensOut: answerTokens, Prefix: soundPrompt(id),
	}
	return t
}

// killHolder kills the router with the most tokens of the batches' budget in escrow, some time after a batch.
func (f *fleet) killHolder(ctx context.Context, b Batch) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(b.KillAfter):
	}
	holder, _, err := f.largestHolder(batchAccount.name)
	if err != nil {
		f.fail(err)
		return
	}
	if holder == nil {
		return
	}
	f.counters.countFault(HolderKilled)
	if err := f.applyRouterFault(Step{Fault: RouterKilled, Target: holder.number, Duration: b.Downtime}); err != nil {
		f.fail(err)
	}
}

// largestHolder returns the router that has the most tokens of a budget in escrow, or nil if none has any, and the time
// of its last write by its own clock.
func (f *fleet) largestHolder(account string) (largest *router, wrote int64, err error) {
	value, err := f.store.Value(budget.PageKey(0))
	if err != nil {
		return nil, 0, err
	}
	page, err := budget.DecodePage(value)
	if err != nil {
		return nil, 0, err
	}
	var most int64
	for holder, e := range page.Escrows {
		id, _, _ := strings.Cut(holder, "/")
		for _, r := range f.routers {
			if tokens := e.Parts[account].Tokens; r.settings.Instance.ID == id && tokens > most {
				largest, most, wrote = r, tokens, e.At
			}
		}
	}
	return largest, wrote, nil
}
