package policy

import (
	"fmt"
	"time"

	"github.com/gaplink/gaplink/lab/vtime"
	"github.com/gaplink/gaplink/ledger"
)

// LedgerLoad is a seeded load on the ledger.
type LedgerLoad struct {
	Name string
	Seed uint64
	// PerSecond is the request rate of the fleet, NotRepeatable the share of
	// not-repeatable requests.
	PerSecond, NotRepeatable float64
	Shards                   int
	// MinCommitInterval and MaxCommitDelay configure the shards, see ledger.Config.
	MinCommitInterval, MaxCommitDelay time.Duration
	// RoundTrip is the round-trip time to the owner of a shard, StoreDelay the latency
	// of a store call.
	RoundTrip, StoreDelay time.Duration
	Length                time.Duration
}

// LedgerResult is the result of a ledger run.
type LedgerResult struct {
	Name            string  `json:"name"`
	Requests        int     `json:"requests"`
	WritesPerSecond float64 `json:"store_writes_per_s"`
	BytesPerSecond  float64 `json:"store_bytes_per_s"`
	// The wait times are in milliseconds: for the claim of a not-repeatable
	// request before its dispatch, for the claim of a repeatable request, and
	// for the bill at the end of an answer.
	NotRepeatableP50, NotRepeatableP99 float64
	RepeatableP50, RepeatableP99       float64
	BillP50, BillP99                   float64
}

// ledgerSim simulates one shard. All shards have the same load.
type ledgerSim struct {
	*vtime.Sim
	load          LedgerLoad
	shard         *ledger.Shard
	segments      []*ledger.Segment
	version       int64
	replies       map[uint64]func()
	token         uint64
	result        LedgerResult
	writes        int
	bytes         int
	notRepeatable []time.Duration
	repeatable    []time.Duration
	bills         []time.Duration
}

// RunLedger runs a load on one shard and multiplies the counts by the number of shards.
func RunLedger(load LedgerLoad) LedgerResult {
	cfg := ledger.DefaultConfig()
	cfg.Owner = "owner"
	cfg.MinCommitInterval, cfg.MaxCommitDelay = load.MinCommitInterval, load.MaxCommitDelay
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
		s.request(s.result.Requests, s.Rng.Float64() < s.load.NotRepeatable)
		s.arrivals(mean)
	})
}

// request submits a claim, waits for the simulated run and submits the bill.
func (s *ledgerSim) request(n int, once bool) {
	op := ledger.Op{
		Kind: ledger.Claim, Request: fmt.Sprintf("k/account/%08d", n), Claim: fmt.Sprintf("7b0c11f2-4a1e-4c55-9b1c-%012d", n),
		Holder: "r017/7b0c11f2-4a1e-4c55-9b1c-000000000000", Instance: "r017", Account: "account", Budget: "budget", Target: "model",
		NotRepeatable: once, Durable: once, MaxTokens: 400,
	}
	waits := &s.repeatable
	if once {
		waits = &s.notRepeatable
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
	s.After(s.load.RoundTrip/2, func() {
		s.token++
		s.replies[s.token] = func() {
			s.After(s.load.RoundTrip/2, func() {
				*waits = append(*waits, s.Now.Sub(began))
				done()
			})
		}
		s.execute(s.shard.Submit(s.Now, op, s.token))
	})
}

func (s *ledgerSim) tick() {
	const every = 5 * time.Millisecond
	s.After(every, func() {
		s.execute(s.shard.Tick(s.Now))
		s.tick()
	})
}

func (s *ledgerSim) execute(effects []ledger.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ledger.Reply:
			s.replies[e.Token]()
			delete(s.replies, e.Token)
		case ledger.Load:
			s.After(s.load.StoreDelay, func() { s.execute(s.shard.Loaded(s.Now, s.segments, s.version, ledger.Done)) })
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
		s.execute(s.shard.Appended(s.Now, s.version, ledger.Done))
	})
}

func (s *ledgerSim) report() LedgerResult {
	r := s.result
	r.Name = s.load.Name
	r.Requests *= s.load.Shards
	seconds := s.load.Length.Seconds()
	r.WritesPerSecond = float64(s.writes*s.load.Shards) / seconds
	r.BytesPerSecond = float64(s.bytes*s.load.Shards) / seconds
	r.NotRepeatableP50, r.NotRepeatableP99 = quantiles(s.notRepeatable)
	r.RepeatableP50, r.RepeatableP99 = quantiles(s.repeatable)
	r.BillP50, r.BillP99 = quantiles(s.bills)
	return r
}
