package policy

import (
	"fmt"
	"time"

	"github.com/gaplink/gaplink/lab/vtime"
	"github.com/gaplink/gaplink/ledger"
)

// LedgerLoad is a seeded load of the ledger.
type LedgerLoad struct {
	Name string
	Seed uint64
	// PerSecond is the fleet's requests, Once the share that may not be
	// repeated.
	PerSecond, Once float64
	Shards          int
	// Spacing and Linger are the shards' settings.
	Spacing, Linger time.Duration
	// Hop is the way to a shard's owner and back, StoreDelay a store call.
	Hop, StoreDelay time.Duration
	Length          time.Duration
}

// LedgerResult is what a run came to.
type LedgerResult struct {
	Name            string  `json:"name"`
	Requests        int     `json:"requests"`
	WritesPerSecond float64 `json:"store_writes_per_s"`
	BytesPerSecond  float64 `json:"store_bytes_per_s"`
	// The waits are in milliseconds: of a claim before a not-repeatable
	// request is dispatched, of one before a repeatable request, and of the
	// end of an answer for its bill.
	OnceP50, OnceP99 float64
	SoftP50, SoftP99 float64
	BillP50, BillP99 float64
}

// ledgerSim drives one shard, all of which are alike.
type ledgerSim struct {
	*vtime.Sim
	load     LedgerLoad
	shard    *ledger.Shard
	segments []*ledger.Segment
	version  int64
	replies  map[uint64]func()
	token    uint64
	result   LedgerResult
	writes   int
	bytes    int
	once     []time.Duration
	soft     []time.Duration
	bills    []time.Duration
}

// RunLedger runs a load on one shard and scales the writes to all.
func RunLedger(load LedgerLoad) LedgerResult {
	cfg := ledger.DefaultConfig()
	cfg.Owner = "owner"
	cfg.Spacing, cfg.Linger = load.Spacing, load.Linger
	s := &ledgerSim{Sim: vtime.New(load.Seed, stream), load: load, shard: ledger.NewShard(cfg), replies: map[uint64]func(){}}
	begin := s.Now
	mean := time.Duration(float64(time.Second) * float64(load.Shards) / load.PerSecond)
	s.arrivals(mean)
	s.tick()
	s.Run(begin.Add(load.Length))
	return s.report()
}

func (s *ledgerSim) arrivals(mean time.Duration) {
	s.After(s.Exponential(mean), func() {
		s.result.Requests++
		s.request(s.result.Requests, s.Rng.Float64() < s.load.Once)
		s.arrivals(mean)
	})
}

// request claims, runs for a while, and bills.
func (s *ledgerSim) request(n int, once bool) {
	op := ledger.Op{
		Kind: ledger.Claim, Request: fmt.Sprintf("k/account/%08d", n), Claim: fmt.Sprintf("7b0c11f2-4a1e-4c55-9b1c-%012d", n),
		Holder: "r017/7b0c11f2-4a1e-4c55-9b1c-000000000000", Instance: "r017", Account: "account", Budget: "budget", Target: "model",
		NotRepeatable: once, Durable: once, Worst: 400,
	}
	waits := &s.soft
	if once {
		waits = &s.once
	}
	s.submit(op, waits, func() {
		s.After(s.Exponential(time.Second), func() {
			op.Kind, op.Attempt, op.Tokens = ledger.Bill, 1, 200
			s.submit(op, &s.bills, func() {})
		})
	})
}

func (s *ledgerSim) submit(op ledger.Op, waits *[]time.Duration, done func()) {
	began := s.Now
	s.After(s.load.Hop/2, func() {
		s.token++
		s.replies[s.token] = func() {
			s.After(s.load.Hop/2, func() {
				*waits = append(*waits, s.Now.Sub(began))
				done()
			})
		}
		s.perform(s.shard.Submit(s.Now, op, s.token))
	})
}

func (s *ledgerSim) tick() {
	const every = 5 * time.Millisecond
	s.After(every, func() {
		s.perform(s.shard.Tick(s.Now))
		s.tick()
	})
}

func (s *ledgerSim) perform(effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Reply:
			s.replies[e.Token]()
			delete(s.replies, e.Token)
		case ledger.Load:
			s.After(s.load.StoreDelay, func() { s.perform(s.shard.Loaded(s.Now, s.segments, s.version, ledger.Done)) })
		case ledger.Append:
			s.append(e)
		}
	}
}

func (s *ledgerSim) append(e ledger.Append) {
	s.writes++
	s.bytes += len(e.Segment.Encode())
	s.After(s.load.StoreDelay, func() {
		s.version++
		s.perform(s.shard.Appended(s.Now, s.version, ledger.Done))
	})
}

func (s *ledgerSim) report() LedgerResult {
	r := s.result
	r.Name = s.load.Name
	r.Requests *= s.load.Shards
	seconds := s.load.Length.Seconds()
	r.WritesPerSecond = float64(s.writes*s.load.Shards) / seconds
	r.BytesPerSecond = float64(s.bytes*s.load.Shards) / seconds
	r.OnceP50, r.OnceP99 = quantiles(s.once)
	r.SoftP50, r.SoftP99 = quantiles(s.soft)
	r.BillP50, r.BillP99 = quantiles(s.bills)
	return r
}
