package logs

import "sync"

// maxNames bounds the names that a Names accepts: what others send may hold a new one each time.
const maxNames = 32

// Names limits log lines about names that others send to one line for each name. The zero value
// is ready to use. It is safe for concurrent use.
type Names struct {
	mu   sync.Mutex
	seen map[string]bool
}

// Add reports whether a name is new, and whether no further name will be reported as new.
func (n *Names) Add(name string) (isNew, isLast bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.seen[name] || len(n.seen) >= maxNames {
		return false, false
	}
	if n.seen == nil {
		n.seen = map[string]bool{}
	}
	n.seen[name] = true
	return true, len(n.seen) == maxNames
}
