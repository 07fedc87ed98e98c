package origins_test

import (
	"context"
	"time"

	"github.com/gaplink/gaplink/store"
)

// trouble is what is wrong with a router. The mutex of its network protects it.
type trouble struct {
	// frozen is set while the process stands still, cutOff while it reaches no other router, and noStore while it does
	// not reach the store.
	frozen, cutOff, noStore bool
}

// silent reports whether a router answers no others.
func (t trouble) silent() bool { return t.frozen || t.cutOff }

// storeFaults are the faults of the store. The mutex of the network protects them.
type storeFaults struct {
	// down refuses all calls, and noWrites those that write.
	down, noWrites bool
	// delay is how long a call takes. It has its effect after that, also if the caller has given up.
	delay time.Duration
	// loseDone and loseUndone lose the answers of writes that have or have not taken effect.
	loseDone, loseUndone bool
}

// storeTimeout is how long a router waits for an answer of the store.
const storeTimeout = 2 * time.Second

// linkToStore is a router's path to the store, which a router that is dead or cut off lacks.
type linkToStore struct {
	store.Store
	router *router
}

// state returns whether the router reaches the store, and the faults of that.
func (l linkToStore) state() (reached bool, faults storeFaults) {
	l.router.net.mu.Lock()
	defer l.router.net.mu.Unlock()
	return !l.router.dead && !l.router.trouble.noStore && !l.router.net.storeDown.Load(), l.router.net.faults
}

func (l linkToStore) Get(ctx context.Context, key string) (store.Object, error) {
	return l.call(ctx, false, func() (store.Object, error) { return l.Store.Get(context.Background(), key) })
}

func (l linkToStore) Create(ctx context.Context, key string, value []byte) (store.Object, error) {
	return l.call(ctx, true, func() (store.Object, error) { return l.Store.Create(context.Background(), key, value) })
}

func (l linkToStore) Update(ctx context.Context, key string, version int64, value []byte) (store.Object, error) {
	return l.call(ctx, true, func() (store.Object, error) { return l.Store.Update(context.Background(), key, version, value) })
}

// call makes a call with the faults of the store.
func (l linkToStore) call(ctx context.Context, writes bool, effect func() (store.Object, error)) (store.Object, error) {
	l.router.net.mu.Lock()
	if writes {
		l.router.net.storeWrites++
	} else {
		l.router.net.storeReads++
	}
	l.router.net.mu.Unlock()
	reached, f := l.state()
	switch {
	case !reached:
		return store.Object{}, store.ErrUnknown
	case f.down, f.noWrites && writes:
		time.Sleep(2 * linkDelay)
		return store.Object{}, store.ErrUnavailable
	}
	type result struct {
		o   store.Object
		err error
	}
	results := make(chan result, 1)
	go func() {
		time.Sleep(linkDelay + f.delay)
		if writes && f.loseUndone {
			results <- result{err: store.ErrUnknown}
			return
		}
		o, err := effect()
		if writes && f.loseDone {
			o, err = store.Object{}, store.ErrUnknown
		}
		time.Sleep(linkDelay)
		results <- result{o, err}
	}()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	select {
	case r := <-results:
		return r.o, r.err
	case <-ctx.Done():
		return store.Object{}, store.ErrUnknown
	}
}

// storeCalls returns the calls of the store so far.
func (n *network) storeCalls() (reads, writes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeReads, n.storeWrites
}
