package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/ledger"
)

// fakeLog is the store's side of one shard: segments with versions.
type fakeLog struct {
	segments map[int]*ledger.Segment
	versions map[int]int64
	revision int64
}

func newFakeLog() *fakeLog {
	return &fakeLog{segments: map[int]*ledger.Segment{}, versions: map[int]int64{}}
}

// put applies an append if its condition holds.
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

// ops returns the whole log in order.
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

// writer is one router that acts for the shard.
type writer struct {
	name    string
	shard   *ledger.Shard
	effects []ledger.Effect
}

// world drives two writers over one log with faults.
type world struct {
	t       *rapid.T
	now     time.Time
	log     *fakeLog
	writers []*writer
	delayed []ledger.Append // sent, answer lost, not yet arrived
	token   uint64
	asked   map[uint64]ledger.Op
	replies map[uint64]ledger.Outcome
	runs    map[string]int // not-repeatable: Run verdicts less withdrawals
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:       t,
		now:     time.Unix(1000, 0),
		log:     newFakeLog(),
		asked:   map[uint64]ledger.Op{},
		replies: map[uint64]ledger.Outcome{},
		runs:    map[string]int{},
	}
	for i := range 2 {
		w.addWriter(fmt.Sprintf("w%d", i))
	}
	return w
}

func (w *world) addWriter(name string) {
	cfg := ledger.DefaultConfig()
	cfg.Owner = name
	cfg.SegmentBytes = 400
	w.writers = append(w.writers, &writer{name: name, shard: ledger.NewShard(cfg)})
}

func (w *world) take(wr *writer, effects []ledger.Effect) {
	for _, e := range effects {
		if r, ok := e.(ledger.Reply); ok {
			w.reply(r)
			continue
		}
		wr.effects = append(wr.effects, e)
	}
}

func (w *world) reply(r ledger.Reply) {
	if _, twice := w.replies[r.Token]; twice {
		w.t.Fatalf("op %d answered twice", r.Token)
	}
	w.replies[r.Token] = r.Outcome
	op := w.asked[r.Token]
	if op.NotRepeatable && op.Kind == ledger.Claim && r.Outcome.Verdict == ledger.Run {
		w.runs[op.Request]++
		if w.runs[op.Request] > 1 {
			w.t.Fatalf("not-repeatable %s may run twice", op.Request)
		}
	}
	if op.Kind == ledger.Bill && r.Outcome.Verdict == ledger.Recorded && !w.logged(op) {
		w.t.Fatalf("bill %+v answered recorded and not in the log", op)
	}
}

func (w *world) logged(op ledger.Op) bool {
	for _, l := range w.log.ops() {
		if l.Kind == ledger.Bill && l.Request == op.Request && l.Claim == op.Claim {
			return true
		}
	}
	return false
}

func (w *world) submit(wr *writer, op ledger.Op) {
	w.token++
	w.asked[w.token] = op
	w.take(wr, wr.shard.Submit(w.now, op, w.token))
}

// answer carries out the oldest effect of a writer with a fate.
func (w *world) answer(wr *writer, fate string) {
	if len(wr.effects) == 0 {
		return
	}
	e := wr.effects[0]
	wr.effects = wr.effects[1:]
	switch e := e.(type) {
	case ledger.Load:
		if fate != "done" {
			w.take(wr, wr.shard.Loaded(w.now, nil, 0, ledger.Unavailable))
			return
		}
		segments, version := w.log.list()
		w.take(wr, wr.shard.Loaded(w.now, segments, version, ledger.Done))
	case ledger.Append:
		w.append(wr, e, fate)
	}
}

func (w *world) append(wr *writer, a ledger.Append, fate string) {
	switch fate {
	case "unavailable":
		w.take(wr, wr.shard.Appended(w.now, 0, ledger.Unavailable))
	case "late":
		w.delayed = append(w.delayed, a)
		w.take(wr, wr.shard.Appended(w.now, 0, ledger.Lost))
	case "lost":
		w.log.put(a)
		w.take(wr, wr.shard.Appended(w.now, 0, ledger.Lost))
	default:
		version, ok := w.log.put(a)
		result := ledger.Done
		if !ok {
			result = ledger.Conflict
		}
		w.take(wr, wr.shard.Appended(w.now, version, result))
	}
}

// arrive lets a delayed write reach the store.
func (w *world) arrive() {
	if len(w.delayed) == 0 {
		return
	}
	w.log.put(w.delayed[0])
	w.delayed = w.delayed[1:]
}

func (w *world) check() {
	bills := map[string]int{}
	for _, op := range w.log.ops() {
		if op.Kind != ledger.Bill {
			continue
		}
		id := op.Request + " " + op.Claim
		bills[id]++
		if bills[id] > 1 {
			w.t.Fatalf("%s billed twice in the log", id)
		}
	}
}

// settle lets everything finish without further faults.
func (w *world) settle() {
	for range 50 {
		w.now = w.now.Add(time.Second)
		w.arrive()
		for _, wr := range w.writers {
			w.take(wr, wr.shard.Tick(w.now))
			for len(wr.effects) > 0 {
				w.answer(wr, "done")
			}
		}
	}
}

// TestShardUnderFaults drives two writers of one shard at random through lost
// answers, late arrivals, outages and conflicts.
func TestShardUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		wr := rapid.SampledFrom([]int{0, 1})
		request := rapid.SampledFrom([]string{"k/a/1", "k/a/2", "k/a/3"})
		holder := rapid.SampledFrom([]string{"h", "g"})
		superseded := rapid.SampledFrom([]string{"", "h", "g"})
		fates := rapid.SampledFrom([]string{"done", "done", "done", "unavailable", "lost", "late"})
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				r := request.Draw(t, "request")
				once := r == "k/a/3"
				w.submit(w.writers[wr.Draw(t, "writer")], ledger.Op{
					Kind: ledger.Claim, Request: r, Claim: fmt.Sprint("c", w.token),
					Holder: holder.Draw(t, "holder"), Supersede: superseded.Draw(t, "supersede"),
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
				w.answer(w.writers[wr.Draw(t, "writer")], fates.Draw(t, "fate"))
			},
			"arrive": func(*rapid.T) { w.arrive() },
			"tick": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				for _, wr := range w.writers {
					w.take(wr, wr.shard.Tick(w.now))
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		w.settle()
		w.check()
		for token, op := range w.asked {
			if _, ok := w.replies[token]; !ok {
				t.Fatalf("op %d (%s) never answered", token, op.Kind)
			}
			if op.Kind == ledger.Bill && !w.logged(op) {
				t.Fatalf("bill %+v lost", op)
			}
		}
	})
}

// TestClaimAfterItsBill is the case of a witness that commits a claim when the
// attempt was billed elsewhere long ago: it must not count as another attempt.
func TestClaimAfterItsBill(t *testing.T) {
	now := time.Unix(1000, 0)
	claim := ledger.Op{Kind: ledger.Claim, Request: "k/a/1", Claim: "c1", Holder: "h", Budget: "b", Attempt: 1, Worst: 40}
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
