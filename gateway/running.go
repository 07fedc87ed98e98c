package gateway

import (
	"sync"

	"github.com/gaplink/gaplink/clock"
)

// inProgress holds what is under way, with a value for each. The zero value is ready to use.
type inProgress[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// add registers a key until the returned function is called.
func (p *inProgress[K, V]) add(key K, value V) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.values == nil {
		p.values = map[K]V{}
	}
	p.values[key] = value
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.values, key)
	}
}

// matching returns the values of the keys that are accepted.
func (p *inProgress[K, V]) matching(accepts func(K) bool) []V {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []V
	for key, value := range p.values {
		if accepts(key) {
			list = append(list, value)
		}
	}
	return list
}

// Resumed must be called after the machine was suspended. It cancels the requests whose deadline
// passed meanwhile: their timers did not run during the suspension, and servers would keep
// working for callers that have disconnected.
func (g *Gateway) Resumed() {
	for _, cancel := range g.running.matching((*call).deadlinePassed) {
		cancel()
	}
}

// deadlinePassed reports whether the request's deadline has passed, counting time during which
// the machine was suspended.
func (c *call) deadlinePassed() bool { return clock.Until(c.deadline) <= 0 }
