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
	// greetAtOnce bounds the greetings under way.
	greetAtOnce = 16
	// greetWithin bounds the wait for the answers to the greetings of a small fleet: those that
	// run answer within milliseconds.
	greetWithin = 250 * time.Millisecond
	// askSeedsFirst is the pause between two rounds of questions to the seeds, more or less a
	// half. It doubles up to askSeedsLongest.
	askSeedsFirst   = 100 * time.Millisecond
	askSeedsLongest = time.Second
	// spreadFirstStart is the time over which routers that all start for the first time spread
	// their questions to the seeds.
	spreadFirstStart = 500 * time.Millisecond
	// readStoreAfter is when a router whose seeds know nothing lists the registrations for
	// itself, and readStoreSpread the time over which a fleet whose seeds are all gone spreads
	// these lists.
	readStoreAfter  = 300 * time.Millisecond
	readStoreSpread = 2 * time.Second
)

// introduce learns how large the fleet is and whom to ask for updates: a seed from the store, any
// other router from a seed, or from the store if no seed knows. In a small fleet it greets all.
func (c *Controller) introduce(ctx context.Context) {
	begun := clock.Now()
	patience := readStoreAfter + rand.N(readStoreSpread)
	if c.FirstStart && !c.isSeed() {
		_ = wait.For(ctx, rand.N(spreadFirstStart))
	}
	for pause := askSeedsFirst; ctx.Err() == nil; pause = min(2*pause, askSeedsLongest) {
		if c.learn(ctx, clock.Since(begun) >= patience) {
			break
		}
		_ = wait.For(ctx, time.Duration((0.5+rand.Float64())*float64(pause)))
	}
	if c.Size() < Large {
		c.greetAll(ctx)
	}
}

// learn tries once to learn of the fleet. fromStore tells that a router that is no seed may list
// the registrations too.
func (c *Controller) learn(ctx context.Context, fromStore bool) bool {
	switch {
	case c.isSeed():
		return c.learnFromStore(ctx, c.Store.List)
	case c.askSeeds(ctx):
		return true
	case fromStore || len(c.Seeds()) == 0:
		return c.learnFromStore(ctx, c.listStale)
	default:
		return false
	}
}

func (c *Controller) isSeed() bool { return slices.Contains(c.Seeds(), c.Self.Addr) }

// lister lists the objects of a kind.
type lister func(ctx context.Context, kind string) ([]store.Object, int64, error)

func (c *Controller) listStale(ctx context.Context, kind string) ([]store.Object, int64, error) {
	return store.ListStale(ctx, c.Store, kind)
}

func (c *Controller) learnFromStore(ctx context.Context, list lister) bool {
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

// askSeeds asks the seeds one after the other, in a random order, until one knows the fleet.
func (c *Controller) askSeeds(ctx context.Context) bool {
	seeds := slices.DeleteFunc(slices.Clone(c.Seeds()), func(addr string) bool { return addr == c.Self.Addr })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	for _, addr := range seeds {
		answer, err := c.greet(ctx, addr)
		if err != nil || !answer.Known {
			continue
		}
		c.mu.Lock()
		c.told = answer.Fleet
		c.mu.Unlock()
		for _, r := range answer.Contacts {
			c.meet(r)
		}
		return true
	}
	return false
}

// greetAll greets the known routers, and waits for the answers of those that run.
func (c *Controller) greetAll(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.greetEach(ctx, c.Members.Members())
	}()
	timer := time.NewTimer(greetWithin)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (c *Controller) greetEach(ctx context.Context, all []membership.Member) {
	var greetings sync.WaitGroup
	slots := make(chan struct{}, greetAtOnce)
	for _, m := range all {
		if m.ID == c.Self.ID || m.Incarnation != "" {
			continue // one whose process is known has been met
		}
		slots <- struct{}{}
		greetings.Go(func() {
			defer func() { <-slots }()
			_, _ = c.greet(ctx, m.Addr) // it has logged why
		})
	}
	greetings.Wait()
}

// greet introduces this router to the one at addr, and meets it.
func (c *Controller) greet(ctx context.Context, addr string) (*peer.HelloAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := c.Calls.Hello(ctx, addr, &peer.HelloRequest{Self: c.Self})
	if err != nil {
		c.Log.Info("router does not answer", zap.String("address", addr), zap.Error(err))
		return nil, err
	}
	c.meet(answer.Self)
	return answer, nil
}

// Hello answers another router that introduces itself.
func (c *Controller) Hello(_ context.Context, req *peer.HelloRequest) (*peer.HelloAnswer, error) {
	c.meet(req.Self)
	c.Members.Reached(req.Self.ID)
	answer := &peer.HelloAnswer{Self: c.Self}
	if c.Revision() == 0 {
		return answer, nil
	}
	answer.Known, answer.Fleet = true, c.Size()
	answer.Contacts = c.contacts(req.Self.Domain)
	return answer, nil
}

// contacts returns the routers that a router of a failure domain needs to know first.
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
			// Which process runs there may have changed since this router met it.
			routers = append(routers, peer.Router{ID: m.ID, Addr: m.Addr, Domain: m.Domain, LinkMbps: m.LinkMbps})
		}
	}
	return routers
}

// meet notes a router that answers, or of which another one tells.
func (c *Controller) meet(r peer.Router) {
	if r.ID == c.Self.ID || r.ID == "" {
		return
	}
	c.Members.Met(memberOf(r))
}
