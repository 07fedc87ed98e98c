package ledgers_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/ledgers"
	"github.com/gaplink/gaplink/controller/members"
	"github.com/gaplink/gaplink/ledger"
	"github.com/gaplink/gaplink/membership"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
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
