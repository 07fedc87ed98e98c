package roster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/wait"
)

const (
	// maxConcurrentHellos is the maximum number of concurrent introductions.
	maxConcurrentHellos = 16
	// helloAllTimeout bounds the wait for answers to introductions in a small fleet: running routers
	// answer within milliseconds.
	helloAllTimeout = 250 * time.Millisecond
	// seedBackoffMin is the first delay between two rounds of requests to the seeds, with a jitter
	// of half of it either way. It doubles up to seedBackoffMax.
	seedBackoffMin = 100 * time.Millisecond
	seedBackoffMax = time.Second
	// firstStartSpread is the time over which routers spread their requests to the seeds when the
	// whole fleet starts for the first time.
	firstStartSpread = 500 * time.Millisecond
	// storeListDelay is the minimum time after which a router whose seeds don't know the fleet
	// lists the registrations itself, and storeListSpread the time over which the routers of a
	// fleet without live seeds spread these lists.
	storeListDelay  = 300 * time.Millisecond
	storeListSpread = 2 * time.Second
)

// introduce learns how large the fleet is and where to get updates. A seed reads the store; other
// routers ask a seed, or read the store if no seed knows. In a small fleet, introduce then
// introduces the router to all others.
func (c *Controller) introduce(ctx context.Context) {
	begun := clock.Now()
	listAfter := storeListDelay + rand.N(storeListSpread)
	if c.FirstStart && !c.isSeed() {
		_ = wait.For(ctx, rand.N(firstStartSpread))
	}
	for pause := seedBackoffMin; ctx.Err() == nil; pause = min(2*pause, seedBackoffMax) {
		if c.discover(ctx, clock.Since(begun) >= listAfter) {
			break
		}
		_ = wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
	}
	if c.Size() < Large {
		c.helloAll(ctx)
	}
}

// discover makes one attempt to learn about the fleet. fromStore allows a router that is no seed
// to list the registrations.
func (c *Controller) discover(ctx context.Context, fromStore bool) bool {
	switch {
	case c.isSeed():
		return c.discoverFromStore(ctx, c.Store.List)
	case c.askSeeds(ctx):
		return true
	case fromStore || len(c.Seeds()) == 0:
		return c.discoverFromStore(ctx, c.listStale)
	default:
		return false
	}
}

func (c *Controller) isSeed() bool { return slices.Contains(c.Seeds(), c.Self.Addr) }

// lister lists the objects of a kind, with the revision of the list.
type lister func(ctx context.Context, kind string) ([]store.Object, int64, error)

func (c *Controller) listStale(ctx context.Context, kind string) ([]store.Object, int64, error) {
	return store.ListStale(ctx, c.Store, kind)
}

func (c *Controller) discoverFromStore(ctx context.Context, list lister) bool {
	if err := c.readStore(ctx, list); err != nil {
		c.Log.Info("registrations of routers not listed", zap.Error(err))
		return false
	}
	return true
}

// readStore lists the registrations of all routers.
func (c *Controller) readStore(ctx context.Context, list lister) error {
	objects, revision, err := list(ctx, Kind)
	if err != nil {
		return err
	}
	c.Listed(objects, revision)
	return nil
}

// askSeeds asks the seeds one by one in random order until one knows the fleet.
func (c *Controller) askSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(c.Seeds()), func(addr string) bool { return addr == c.Self.Addr })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, addr := range seeds {
		answer, err := c.hello(ctx, addr)
		if err != nil || !answer.Known {
			continue
		}
		c.mu.Lock()
		c.reportedSize = answer.Fleet
		c.mu.Unlock()
		for _, r := range answer.Contacts {
			c.addMember(r)
		}
		return true
	}
	return false
}

// helloAll introduces this router to all known routers, and waits up to helloAllTimeout for their
// answers.
func (c *Controller) helloAll(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.helloEach(ctx, c.Members.Members())
	}()
	timer := time.NewTimer(helloAllTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Controller) helloEach(ctx context.Context, all []membership.Member) {
	var hellos sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentHellos)
	for _, m := range all {
		if m.ID == c.Self.ID || m.Incarnation != "" {
			continue // already introduced, since its process is known
		}
		slots <- struct{}{}
		hellos.Go(func() {
			defer func() { <-slots }()
			_, _ = c.hello(ctx, m.Addr) // hello logs the error
		})
	}
	hellos.Wait()
}

// hello introduces this router to the one at addr, and records that router as a member.
func (c *Controller) hello(ctx context.Context, addr string) (*peer.HelloAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.Calls.Hello(ctx, addr, &peer.HelloRequest{Self: c.Self})
	if err != nil {
		c.Log.Info("router does not answer", zap.String("address", addr), zap.Error(err))
		return nil, err
	}
	c.addMember(answer.Self)
	return answer, nil
}

// Hello answers another router that introduces itself.
func (c *Controller) Hello(_ context.Context, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	c.addMember(req.Self)
	c.Members.ReportSuccess(req.Self.ID)
	answer := &peer.HelloAnswer{Self: c.Self}
	if c.Revision() == 0 {
		return answer, nil
	}
	answer.Known, answer.Fleet = true, c.Known()
	answer.Contacts = c.contacts(req.Self.Domain)
	return answer, nil
}

// contacts returns the routers that a new router of a failure domain must know.
func (c *Controller) contacts(domain string) []peer.Router {
	var ids []string
	if c.Size() >= Large {
		ids = c.Contacts(domain)
	} else {
		for _, m := range c.Members.Members() {
			ids = append(ids, m.ID)
		}
	}
	routers := make([]peer.Router, 0, len(ids))
	for _, id := range ids {
		if m, ok := c.Members.Get(id); ok {
			// The incarnation is left out, since that router may have restarted.
			routers = append(routers, peer.Router{ID: m.ID, Addr: m.Addr, Domain: m.Domain, LinkMbps: m.LinkMbps})
		}
	}
	return routers
}

// addMember records a router that has answered or that another one has reported.
func (c *Controller) addMember(r peer.Router) {
	if r.ID == c.Self.ID || r.ID == "" {
		return
	}
	c.Members.AddOrUpdate(memberOf(r))
}
