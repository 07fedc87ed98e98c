package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/ledger"
)

// fakeLog is an in-memory store of the versioned segments of one shard.
type fakeLog struct {
	segments map[int]*ledger.Segment
	versions map[int]int64
	revision int64
}

func newFakeLog() *fakeLog {
	return &fakeLog{segments: map[int]*ledger.Segment{}, versions: map[int]int64{}}
}

// put applies an append if the expected version matches.
func (l *fakeLog) put(a ledger.Append) (int64, bool) {
	if l.versions[a.Segment.Number] != a.Version {
		return 0, false
	}
	l.revision++
	l.segments[a.Segment.Number] = a.Segment
	l.versions[a.Segment.Number] = l.revision
	return l.revision, true
}

func (l *fakeLog) list() ([]*ledger.Segment, int64) {
	var list []*ledger.Segment
	var version int64
	for n := range len(l.segments) {
		list = append(list, l.segments[n])
		version = l.versions[n]
	}
	return list, version
}

// ops returns all ops of the log in order.
func (l *fakeLog) ops() []ledger.Op {
	var ops []ledger.Op
	segments, _ := l.list()
	for _, s := range segments {
		for _, b := range s.Batches {
			ops = append(ops, b.Ops...)
		}
	}
	return ops
}

// writer is one router that acts as owner of the shard.
type writer struct {
	name    string
	shard   *ledger.Shard
	effects []ledger.Effect
}

// simulation drives two writers on one log and injects faults.
type simulation struct {
	t         *rapid.T
	now       time.Time
	log       *fakeLog
	writers   []*writer
	delayed   []ledger.Append // reported as lost and not yet applied by the store
	token     uint64
	submitted map[uint64]ledger.Op
	replies   map[uint64]ledger.Outcome
	runs      map[string]int // number of Run decisions per not-repeatable request
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t:         t,
		now:       time.Unix(1000, 0),
		log:       newFakeLog(),
		submitted: map[uint64]ledger.Op{},
		replies:   map[uint64]ledger.Outcome{},
		runs:      map[string]int{},
	}
	for i := range 2 {
		w.addWriter(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *simulation) addWriter(name string) {
	cfg := ledger.DefaultConfig()
	cfg.Owner = name
	cfg.SegmentBytes = 400
	w.writers = append(w.writers, &writer{name: name, shard: ledger.NewShard(cfg)})
}

func (w *simulation) handle(wr *writer, effects []ledger.Effect) {
	for _, e := range effects {
		if r, ok := e.(ledger.Reply); ok {
			w.reply(r)
			continue
		}
		wr.effects = append(wr.effects, e)
	}
}

func (w *simulation) reply(r ledger.Reply) {
	if _, twice := w.replies[r.Token]; twice {
		w.t.Fatalf("op %d was answered twice", r.Token)
	}
	w.replies[r.Token] = r.Outcome
	op := w.submitted[r.Token]
	if op.NotRepeatable && op.Kind == ledger.Claim && r.Outcome.Decision == ledger.Run {
		w.runs[op.Request]++
		if w.runs[op.Request] > 1 {
			w.t.Fatalf("not-repeatable request %s may run twice", op.Request)
		}
	}
	if op.Kind == ledger.Bill && r.Outcome.Decision == ledger.Recorded && !w.billLogged(op) {
		w.t.Fatalf("bill %+v was answered Recorded but is not in the log", op)
	}
}

func (w *simulation) billLogged(op ledger.Op) bool {
	for _, l := range w.log.ops() {
		if l.Kind == ledger.Bill && l.Request == op.Request && l.Claim == op.Claim {
			return true
		}
	}
	return false
}

func (w *simulation) submit(wr *writer, op ledger.Op) {
	w.token++
	w.submitted[w.token] = op
	w.handle(wr, wr.shard.Submit(w.now, op, w.token))
}

// perform carries out the oldest pending effect of a writer with the given store result.
func (w *simulation) perform(wr *writer, storeResult string) {
	if len(wr.effects) == 0 {
		return
	}
	e := wr.effects[0]
	wr.effects = wr.effects[1:]
	switch e := e.(type) {
	case ledger.Load:
		if storeResult != "done" {
			w.handle(wr, wr.shard.Loaded(w.now, nil, 0, ledger.Unavailable))
			return
		}
		segments, version := w.log.list()
		w.handle(wr, wr.shard.Loaded(w.now, segments, version, ledger.Done))
	case ledger.Append:
		w.append(wr, e, storeResult)
	}
}

func (w *simulation) append(wr *writer, a ledger.Append, storeResult string) {
	switch storeResult {
	case "unavailable":
		w.handle(wr, wr.shard.Appended(w.now, 0, ledger.Unavailable))
	case "late":
		w.delayed = append(w.delayed, a)
		w.handle(wr, wr.shard.Appended(w.now, 0, ledger.ResultUnknown))
	case "lost":
		w.log.put(a)
		w.handle(wr, wr.shard.Appended(w.now, 0, ledger.ResultUnknown))
	default:
		version, ok := w.log.put(a)
		result := ledger.Done
		if !ok {
			result = ledger.Conflict
		}
		w.handle(wr, wr.shard.Appended(w.now, version, result))
	}
}

// deliverDelayed applies the oldest delayed write to the store.
func (w *simulation) deliverDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	w.log.put(w.delayed[0])
	w.delayed = w.delayed[1:]
}

func (w *simulation) check() {
	bills := map[string]int{}
	for _, op := range w.log.ops() {
		if op.Kind != ledger.Bill {
			continue
		}
		id := op.Request + " " + op.Claim
		bills[id]++
		if bills[id] > 1 {
			w.t.Fatalf("%s was billed twice in the log", id)
		}
	}
}

// finish completes all outstanding work without further faults.
func (w *simulation) finish() {
	for range 50 {
		w.now = w.now.Add(time.Second)
		w.deliverDelayed()
		for _, wr := range w.writers {
			w.handle(wr, wr.shard.Tick(w.now))
			for len(wr.effects) > 0 {
				w.perform(wr, "done")
			}
		}
	}
}

// TestShardUnderFaults drives two writers of one shard through random sequences
// of lost answers, delayed writes, store outages and conflicts.
func TestShardUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		wr := rapid.SampledFrom([]int{0, 1})
		request := rapid.SampledFrom([]string{"k/a/1", "k/a/2", "k/a/3"})
		holder := rapid.SampledFrom([]string{"h", "g"})
		superseded := rapid.SampledFrom([]string{"", "h", "g"})
		storeResults := rapid.SampledFrom([]string{"done", "done", "done", "unavailable", "lost", "late"})
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				r := request.Draw(t, "request")
				once := r == "k/a/3"
				w.submit(w.writers[wr.Draw(t, "writer")], ledger.Op{
					Kind: ledger.Claim, Request: r, Claim: fmt.Sprint("c", w.token),
					Holder: holder.Draw(t, "holder"), SupersededHolder: superseded.Draw(t, "supersede"),
					NotRepeatable: once, Durable: once,
				})
			},
			"bill": func(t *rapid.T) {
				attempt := rapid.IntRange(1, 2).Draw(t, "attempt")
				w.submit(w.writers[wr.Draw(t, "writer")], ledger.Op{
					Kind: ledger.Bill, Request: request.Draw(t, "request"), Holder: "h",
					Claim: fmt.Sprint("bill", attempt), Attempt: attempt, Tokens: 5,
				})
			},
			"answer": func(t *rapid.T) {
				w.perform(w.writers[wr.Draw(t, "writer")], storeResults.Draw(t, "fate"))
			},
			"arrive": func(*rapid.T) { w.deliverDelayed() },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				for _, wr := range w.writers {
					w.handle(wr, wr.shard.Tick(w.now))
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		w.finish()
		w.check()
		for token, op := range w.submitted {
			if _, ok := w.replies[token]; !ok {
				t.Fatalf("op %d (%s) was never answered", token, op.Kind)
			}
			if op.Kind == ledger.Bill && !w.billLogged(op) {
				t.Fatalf("bill %+v was lost", op)
			}
		}
	})
}

// TestClaimAfterItsBill guards against counting an attempt twice when a router
// that accepted a claim in memory commits it long after the attempt was billed
// through another router.
func TestClaimAfterItsBill(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := ledger.Op{Kind: ledger.Claim, Request: "k/a/1", Claim: "c1", Holder: "h", Budget: "b", Attempt: 1, MaxTokens: 40}
	bill := ledger.Op{Kind: ledger.Bill, Request: "k/a/1", Claim: "c1", Holder: "h", Budget: "b", Attempt: 1, Tokens: 7}
	fence := ledger.Op{Kind: ledger.Fence, Holder: "h"}
	for name, order := range map[string][]ledger.Op{
		"claim, bill, fence": {claim, bill, fence},
		"bill, claim, fence": {bill, claim, fence},
		"bill, fence, claim": {bill, fence, claim},
		"claim, fence, bill": {claim, fence, bill},
	} {
		cfg := ledger.DefaultConfig()
		cfg.Owner = "w"
		s := ledger.NewShard(cfg)
		s.Submit(now, ledger.Op{Kind: ledger.Fence, Holder: "other"}, 1)
		s.Loaded(now, []*ledger.Segment{{Batches: []ledger.Batch{{ID: "x", Ops: order}}}}, 1, ledger.Done)
		for _, e := range s.Appended(now, 2, ledger.Done) {
			if r, ok := e.(ledger.Reply); ok && r.Outcome.Totals["b"] != 7 {
				t.Errorf("%s: charged %d tokens, want 7", name, r.Outcome.Totals["b"])
			}
		}
	}
}

// TestLateClaimRaisesTheCharge guards against charging too little for an attempt that was given
// another try: the claim with the higher maximum arrives after the attempt's holder was fenced, or
// after another attempt superseded it.
func TestLateClaimRaisesTheCharge(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := func(id string, attempt int, maxTokens int64) ledger.Op {
		return ledger.Op{Kind: ledger.Claim, Request: "k/a/1", Claim: id, Holder: "h", Budget: "b", Attempt: attempt, MaxTokens: maxTokens}
	}
	fence := ledger.Op{Kind: ledger.Fence, Holder: "h"}
	bill := ledger.Op{Kind: ledger.Bill, Request: "k/a/1", Claim: "c1", Holder: "h", Budget: "b", Attempt: 1, Tokens: 7}
	for name, c := range map[string]struct {
		order []ledger.Op
		want  int64
	}{
		"claims before the fence":           {[]ledger.Op{claim("c1", 1, 20), claim("c1", 1, 40), fence}, 40},
		"second claim after the fence":      {[]ledger.Op{claim("c1", 1, 20), fence, claim("c1", 1, 40)}, 40},
		"both claims after the fence":       {[]ledger.Op{fence, claim("c1", 1, 20), claim("c1", 1, 40)}, 40},
		"the higher one first":              {[]ledger.Op{fence, claim("c1", 1, 40), claim("c1", 1, 20)}, 40},
		"superseded, then the second one":   {[]ledger.Op{claim("c1", 1, 20), claim("c2", 2, 20), claim("c1", 1, 40), fence}, 60},
		"billed, then the second one":       {[]ledger.Op{claim("c1", 1, 20), bill, claim("c1", 1, 40), fence}, 7},
		"raised after the fence and billed": {[]ledger.Op{claim("c1", 1, 20), fence, claim("c1", 1, 40), bill}, 7},
	} {
		cfg := ledger.DefaultConfig()
		cfg.Owner = "w"
		s := ledger.NewShard(cfg)
		s.Submit(now, ledger.Op{Kind: ledger.Fence, Holder: "other"}, 1)
		s.Loaded(now, []*ledger.Segment{{Batches: []ledger.Batch{{ID: "x", Ops: c.order}}}}, 1, ledger.Done)
		for _, e := range s.Appended(now, 2, ledger.Done) {
			if r, ok := e.(ledger.Reply); ok && r.Outcome.Totals["b"] != c.want {
				t.Errorf("%s: charged %d tokens, want %d", name, r.Outcome.Totals["b"], c.want)
			}
		}
	}
}

// TestTriesOfAnUnbilledAttempt guards against tries that nobody cancels, and tokens that are not
// billed, when the claim for a second try is the first that a shard sees; and against a division by
// zero for an attempt whose first claim allowed no tokens.
func TestTriesOfAnUnbilledAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := func(maxTokens, perTry int64) ledger.Op {
		return ledger.Op{Kind: ledger.Claim, Request: "r", Claim: "c1", Holder: "h", Budget: "b", Attempt: 1, MaxTokens: maxTokens, PerTry: perTry}
	}
	fence := ledger.Op{Kind: ledger.Fence, Holder: "h"}
	for name, c := range map[string]struct {
		order []ledger.Op
		tries int64
	}{
		"one try":                         {[]ledger.Op{claim(20, 20)}, 1},
		"two tries":                       {[]ledger.Op{claim(20, 20), claim(40, 20)}, 2},
		"the second first":                {[]ledger.Op{claim(40, 20)}, 2},
		"the second first, after a fence": {[]ledger.Op{fence, claim(40, 20)}, 2},
		"without the cost of one":         {[]ledger.Op{claim(20, 0), claim(40, 0)}, 2},
		"no tokens at first":              {[]ledger.Op{claim(0, 0), claim(40, 0)}, 0},
	} {
		cfg := ledger.DefaultConfig()
		cfg.Owner = "w"
		s := ledger.NewShard(cfg)
		s.Submit(now, fence, 1)
		s.Loaded(now, []*ledger.Segment{{Batches: []ledger.Batch{{ID: "x", Ops: c.order}}}}, 1, ledger.Done)
		for _, e := range s.Appended(now, 2, ledger.Done) {
			r, ok := e.(ledger.Reply)
			if !ok {
				continue
			}
			if len(r.Outcome.Unbilled) != 1 || r.Outcome.Unbilled[0].Tries() != c.tries {
				t.Errorf("%s: unbilled %+v, want %d tries", name, r.Outcome.Unbilled, c.tries)
			}
		}
	}
}
