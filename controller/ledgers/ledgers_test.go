package ledgers_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/ledgers"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
	"github.com/gaplink/gaplink/store/memory"
)

// downStore is a store whose List is unavailable.
type downStore struct{ store.Store }

func (downStore) List(context.Context, string) ([]store.Object, int64, error) {
	return nil, 0, store.ErrUnavailable
}

// TestBufferedBillsAreUnrecorded guards against treating a bill as recorded that is
// only buffered while the store is down. The next owner of the shard may not have
// the bill, and a reclaim would then count its tokens as unspent.
func TestBufferedBillsAreUnrecorded(t *testing.T) {
	self := membership.Member{ID: "r0", Kind: "router", State: membership.Live}
	m := members.New(self, nil, time.Hour, zap.NewNop())
	p := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = p.Close() }()
	cfg := ledger.DefaultConfig()
	cfg.Owner = "r0/1"
	c := ledgers.New(cfg, 1, downStore{}, m, p, zap.NewNop(), func() {})
	op := ledger.Op{Kind: ledger.Bill, Request: "k/a/1", Claim: "c1", Holder: "r0/1", Budget: "b", Attempt: 1, Tokens: 7}
	c.Record(context.Background(), op)
	if got := c.UnrecordedTokens()["b"]; got != 7 {
		t.Fatalf("%d tokens unrecorded, want 7", got)
	}
	c.Wait()
}

// partialStore is a store that answers for the listed shards only.
type partialStore struct {
	store.Store
	mu sync.Mutex
	up map[int]bool
}

func (s *partialStore) setUp(shards ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range shards {
		s.up[n] = true
	}
}

func (s *partialStore) List(ctx context.Context, prefix string) ([]store.Object, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.up {
		if prefix == ledger.Prefix(n) {
			return s.Store.List(ctx, prefix)
		}
	}
	return nil, 0, store.ErrUnavailable
}

// TestUnavailableShardDelaysNoOtherBills guards against bills that stay unrecorded, so that their
// tokens cannot be reclaimed, because those of another shard fail.
func TestUnavailableShardDelaysNoOtherBills(t *testing.T) {
	const bills = 80
	m := members.New(membership.Member{ID: "r0", Kind: "router", State: membership.Live}, nil, time.Hour, zap.NewNop())
	p := peer.NewClient(peer.Options{DialTimeout: time.Second})
	defer func() { _ = p.Close() }()
	cfg := ledger.DefaultConfig()
	cfg.Owner = "r0/1"
	s := &partialStore{Store: memory.New(), up: map[int]bool{}}
	c := ledgers.New(cfg, 2, s, m, p, zap.NewNop(), func() {})
	inFirst := 0
	for n := range bills {
		op := ledger.Op{Kind: ledger.Bill, Request: fmt.Sprint("k/a/", n), Claim: fmt.Sprint("c", n), Holder: "r0/1", Budget: "b", Attempt: 1, Tokens: 7}
		if ledger.ShardOf(op.Request, 2) == 0 {
			inFirst++
		}
		c.Record(t.Context(), op)
	}
	s.setUp(0)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go c.Run(ctx)
	for end := time.Now().Add(4 * time.Second); c.Unrecorded() > bills-inFirst && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
	if n := c.Unrecorded(); n != bills-inFirst {
		t.Errorf("%d bills unrecorded, %d are of the shard that is unavailable", n, bills-inFirst)
	}
	stop()
	c.Wait()
}
