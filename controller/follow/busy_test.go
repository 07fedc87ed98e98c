package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/store"
)

// busyStore holds objects that are written continuously at a fixed rate. Its revision counts the
// writes.
type busyStore struct {
	store.Store
	// perSecond is the number of writes per second.
	perSecond float64
	begun     time.Time

	mu    sync.Mutex
	calls int
	gaps  int
}

const (
	// maxAnswer is how many changes the store returns in one answer, answerTakes the latency of an
	// answer, and history for how long the store retains changes.
	maxAnswer   = 500
	answerTakes = 8 * time.Millisecond
	history     = 20 * time.Second
)

func (s *busyStore) revision() int64 {
	return 1 + int64(time.Since(s.begun).Seconds()*s.perSecond)
}

func (s *busyStore) List(context.Context, string) ([]store.Object, int64, error) {
	return nil, s.revision(), nil
}

func (s *busyStore) Watch(ctx context.Context, _ string, since int64, wait time.Duration) (store.Events, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	time.Sleep(answerTakes)
	last := s.revision()
	if last-since > int64(history.Seconds()*s.perSecond) {
		s.mu.Lock()
		s.gaps++
		s.mu.Unlock()
		return store.Events{Gap: true}, nil
	}
	last = min(last, since+maxAnswer)
	return store.Events{Revision: last, Objects: make([]store.Object, last-since)}, nil
}

// TestWatchKeepsUpWithAllServers guards against a watch that falls behind the writes of the servers
// of a large fleet until the store no longer retains the changes: 10,000 servers renew their
// registrations every three seconds.
func TestWatchKeepsUpWithAllServers(t *testing.T) {
	for servers, callsMost := range map[int]int{145: 7, 1000: 8, 10000: 15, 20000: 30} {
		t.Run(fmt.Sprint(servers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &busyStore{perSecond: float64(servers) / 3, begun: time.Now()}
				f := follow.New(options(s, func() follow.Role { return follow.Watcher }))
				go f.Run(t.Context())
				const span = 60 * time.Second
				for begun := time.Now(); time.Since(begun) < span; {
					time.Sleep(time.Second)
					if behind := float64(s.revision()-f.Revision()) / s.perSecond; behind > 0.5 {
						t.Fatalf("%.1f s behind", behind)
					}
				}
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.gaps > 0 {
					t.Errorf("changes were no longer retained %d times", s.gaps)
				}
				if each := s.calls / int(span.Seconds()); each > callsMost {
					t.Errorf("%d calls a second", each)
				}
			})
		})
	}
}
