// Package memory implements an in-memory store for the platform stand-in and for
// tests.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/gaplink/gaplink/store"
)

// maxEvents is the number of past changes that a watch can return.
const maxEvents = 20000

// Store is an in-memory store. The zero value is not ready; use New.
type Store struct {
	mu            sync.Mutex
	objects       map[string]store.Object
	revision      int64
	events        []store.Object
	discardedUpTo int64 // the revision that precedes events[0]
	changed       chan struct{}
}

var _ store.Store = (*Store)(nil)

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]store.Object),
		changed: make(chan struct{}),
	}
}

// Get implements store.Store.
func (s *Store) Get(_ context.Context, key string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// Create implements store.Store.
func (s *Store) Create(_ context.Context, key string, value []byte) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[key]; ok {
		return store.Object{}, store.ErrConflict
	}
	return s.put(store.Object{Key: key, Value: clone(value)}), nil
}

// Update implements store.Store.
func (s *Store) Update(_ context.Context, key string, version int64, value []byte) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[key]
	if !ok || old.Version != version {
		return store.Object{}, store.ErrConflict
	}
	return s.put(store.Object{Key: key, Value: clone(value)}), nil
}

// Delete implements store.Store.
func (s *Store) Delete(_ context.Context, key string, version int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[key]
	if !ok || old.Version != version {
		return store.ErrConflict
	}
	s.put(store.Object{Key: key, Deleted: true})
	return nil
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) ([]store.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, s.revision, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, prefix string, since int64, wait time.Duration) (store.Events, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		ev, changed := s.eventsAfter(prefix, since)
		if len(ev.Objects) > 0 || ev.Gap {
			return ev, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return ev, nil
		case <-ctx.Done():
			return store.Events{}, ctx.Err()
		}
	}
}

// eventsAfter returns the retained events after a revision and a channel that is closed
// at the next change.
func (s *Store) eventsAfter(prefix string, since int64) (store.Events, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ev := store.Events{Revision: s.revision, Gap: since < s.discardedUpTo}
	if ev.Gap {
		return ev, s.changed
	}
	start := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > since })
	for _, o := range s.events[start:] {
		if strings.HasPrefix(o.Key, prefix) {
			ev.Objects = append(ev.Objects, o)
		}
	}
	return ev, s.changed
}

// put records a change. The caller must hold s.mu.
func (s *Store) put(o store.Object) store.Object {
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, o.Key)
	} else {
		s.objects[o.Key] = o
	}
	s.events = append(s.events, o)
	if len(s.events) > maxEvents {
		s.discardedUpTo = s.events[0].Version
		s.events = s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func clone(b []byte) []byte {
	return append([]byte(nil), b...)
}
