package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gaplink/gaplink/controller/follow"
	"github.com/gaplink/gaplink/store"
)

// lateStore answers each watch late with a change at a revision.
type lateStore struct {
	fakeStore
	revision int64
}

func (s *lateStore) Watch(context.Context, string, int64, time.Duration) (store.Events, error) {
	time.Sleep(300 * time.Millisecond)
	return store.Events{Objects: []store.Object{{Key: "kind/left", Version: s.revision}}, Revision: s.revision}, nil
}

// countingHandler counts the changes that it receives.
type countingHandler struct {
	noopHandler
	changed *atomic.Int64
}

func (h countingHandler) Changed(objects []store.Object) { h.changed.Add(int64(len(objects))) }

// Guards against requests that are sent for ever to a server that has left: the store's answer to a watch is late, other
// routers have sent what came after it, and the registration in it brings the server back.
func TestLateAnswerToAWatchChangesNothing(t *testing.T) {
	for known, want := range map[int64]bool{90: true, 100: true, 200: false} {
		synctest.Test(t, func(t *testing.T) {
			var received, changed atomic.Int64
			received.Store(90)
			o := options(&lateStore{revision: 100}, func() follow.Role { return follow.Watcher })
			o.Handler, o.ReceivedRevision = countingHandler{changed: &changed}, received.Load
			go follow.New(o).Run(t.Context())
			time.Sleep(100 * time.Millisecond)
			received.Store(known)
			time.Sleep(300 * time.Millisecond)
			if got := changed.Load() > 0; got != want {
				t.Errorf("revision %d known: changes up to revision 100 applied: %v", known, got)
			}
		})
	}
}
