package upstream

import "sync"

// minBacklogWrite is the size from which a write counts for a Backlog. Smaller ones, such as those of
// streams, are bounded by the number of connections.
const minBacklogWrite = 8 << 10

// Backlog bounds what the process holds in memory for callers and servers that read slowly: the
// bytes of all writes in progress. Over the limit the largest write is aborted, of equal ones the
// first. It is safe for concurrent use. A nil Backlog bounds nothing.
type Backlog struct {
	limit int64
	// onReset, if not nil, receives the bytes of each aborted write and their sum at that time.
	onReset func(bytes, sum int64)

	mu      sync.Mutex
	sum     int64
	begun   int64 // writes begun so far
	writes  map[*pendingWrite]struct{}
	aborted int64
}

// pendingWrite is a write in progress.
type pendingWrite struct {
	bytes  int64
	number int64
	abort  func()
}

// NewBacklog returns a backlog with a limit in bytes; 0 means no limit.
func NewBacklog(limit int64, onReset func(bytes, sum int64)) *Backlog {
	return &Backlog{limit: limit, onReset: onReset, writes: map[*pendingWrite]struct{}{}}
}

// Begin records that a write of the given size begins, which abort makes fail. The returned function
// must be called when the write has ended.
func (b *Backlog) Begin(bytes int, abort func()) (end func()) {
	if b == nil || bytes < minBacklogWrite {
		return func() {}
	}
	b.mu.Lock()
	b.begun++
	w := &pendingWrite{bytes: int64(bytes), number: b.begun, abort: abort}
	b.writes[w] = struct{}{}
	b.sum += w.bytes
	sum := b.sum
	excess := b.takeExcess()
	b.mu.Unlock()
	for _, e := range excess {
		e.abort()
		if b.onReset != nil {
			b.onReset(e.bytes, sum)
		}
	}
	return func() { b.end(w) }
}

// takeExcess removes the largest writes until the sum is within the limit. The caller holds b.mu.
func (b *Backlog) takeExcess() (excess []*pendingWrite) {
	for b.limit > 0 && b.sum > b.limit {
		var most *pendingWrite
		for w := range b.writes {
			if most == nil || w.bytes > most.bytes || w.bytes == most.bytes && w.number < most.number {
				most = w
			}
		}
		b.remove(most)
		b.aborted++
		excess = append(excess, most)
	}
	return excess
}

func (b *Backlog) remove(w *pendingWrite) {
	delete(b.writes, w)
	b.sum -= w.bytes
}

func (b *Backlog) end(w *pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, pending := b.writes[w]; pending {
		b.remove(w)
	}
}

// Sum returns the bytes of all writes in progress.
func (b *Backlog) Sum() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sum
}

// Aborted returns how many writes were aborted.
func (b *Backlog) Aborted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.aborted
}

// SendBuffer is the size to set for the send buffer of a connection, which the kernel doubles. By
// default it grows to megabytes for a peer that reads slowly.
const SendBuffer = 32 << 10
