package sockets_test

import (
	"testing"

	"github.com/gaplink/gaplink/sockets"
)

// Guards against shares whose sum exceeds the limit, so that callers and backend servers leave no
// descriptor for the store and the other routers. The case that matters: all
// callers of a large account reach one small router that was paused, so that there are thousands
// of caller connections, a backend connection for each request, and a call from each other router.
func TestSharesLeaveRoomForControl(t *testing.T) {
	for _, limit := range []int{512, 1024, 2048, 3075, 4100, 8192, 100_000} {
		s := sockets.Divide(limit)
		const files, store = 200, 24
		if sum := s.Sum(); sum+files+store > limit {
			t.Errorf("%d sockets and %d others of %d descriptors", sum, files+store, limit)
		}
		if s.Callers < limit/10 || s.Backends < s.Callers || s.PeersIn < limit/30 || s.PeersOut < limit/30 {
			t.Errorf("%d descriptors: %+v", limit, s)
		}
	}
}

// Guards against a share of 0, which would mean no limit.
func TestFewDescriptorsAreDividedToo(t *testing.T) {
	s := sockets.Divide(100)
	if s.Callers < 50 || s.Backends < 50 || s.PeersIn < 10 || s.PeersOut < 10 || s.Checks < 2 {
		t.Errorf("%+v", s)
	}
	if (sockets.Divide(0) != sockets.Shares{}) {
		t.Error("an unknown descriptor limit limits sockets")
	}
}
