package table_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/result"
	"github.com/gaplink/gaplink/table"
)

func baseState(t interface{ Fatal(...any) }) *table.State {
	s := table.NewState()
	edits := []table.Edit{
		table.NewEdit(table.KindPool, "old", 0, table.Pool{Name: "old", Kind: table.Model, Target: "m", Site: "old"}),
		table.NewEdit(table.KindPool, "new", 0, table.Pool{Name: "new", Kind: table.Model, Target: "m", Site: "new"}),
		table.RowEdit(table.Row{Account: "*", Target: "m", Site: "old", Weight: 10}, 0),
		table.RowEdit(table.Row{Account: "*", Target: "m", Site: "new", Weight: 0}, 0),
	}
	next, err := s.Apply(table.Change{Revision: 1, Status: table.Committed, Edits: edits})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestCheckRejectsInvalidChanges(t *testing.T) {
	s := baseState(t)
	row := func(r table.Row, expect int64) table.Edit { return table.RowEdit(r, expect) }
	cases := map[string]struct {
		edit table.Edit
		code result.Code
	}{
		"weights sum to zero": {row(table.Row{Account: "*", Target: "m", Site: "old"}, 1), result.BadRow},
		"negative weight":     {row(table.Row{Account: "*", Target: "m", Site: "old", Weight: -1}, 1), result.BadRow},
		"limit below zero":    {row(table.Row{Account: "*", Target: "m", Site: "old", Weight: 1, MaxInFlight: -1}, 1), result.BadRow},
		"unknown pool":        {row(table.Row{Account: "*", Target: "none", Site: "old", Weight: 1}, 0), result.BadRow},
		"unknown account":     {row(table.Row{Account: "nobody", Target: "m", Site: "old", Weight: 1}, 0), result.BadRow},
		"old revision":        {row(table.Row{Account: "*", Target: "m", Site: "old", Weight: 5}, 0), result.RowConflict},
		"unknown kind":        {table.Edit{Kind: "thing", Name: "x"}, result.BadRow},
		"doubled server":      {table.NewEdit(table.KindPool, "p", 0, table.Pool{Name: "p", Kind: table.Model, Target: "m", Site: "x", Servers: []table.Server{{ID: "a", Addr: "1"}, {ID: "a", Addr: "2"}}}), result.BadRow},
	}
	for name, c := range cases {
		err := table.Check(s, table.Change{Edits: []table.Edit{c.edit}})
		if result.From(err).Code != c.code || err == nil {
			t.Errorf("%s: got %v, want %v", name, err, c.code)
		}
	}
	good := table.Change{Edits: []table.Edit{row(table.Row{Account: "*", Target: "m", Site: "new", Weight: 5}, 1)}}
	if err := table.Check(s, good); err != nil {
		t.Error(err)
	}
}

func TestCSVRoundTrip(t *testing.T) {
	rows := table.RowList(baseState(t))
	var b bytes.Buffer
	if err := table.WriteCSV(&b, rows); err != nil {
		t.Fatal(err)
	}
	back, err := table.ReadCSV(&b)
	if err != nil {
		t.Fatal(err)
	}
	if edits := table.DiffRows(rows, back); len(edits) != 0 {
		t.Fatalf("unchanged rows produced edits: %+v", edits)
	}
	back[0].Weight = 99
	edits := table.DiffRows(rows, back[:1])
	if len(edits) != 2 || edits[0].Expect != 1 || edits[1].Value != nil {
		t.Fatalf("want one change and one deletion, got %+v", edits)
	}
	if _, err := table.ReadCSV(bytes.NewBufferString("a,b\n")); result.From(err).Code != result.BadRow {
		t.Fatalf("ReadCSV of a wrong header: %v, want BadRow", err)
	}
}

// protocol drives changes through three participants and competing proposers, with the
// actions of spec/table.pml.
type protocol struct {
	t            *rapid.T
	now          time.Time
	log          map[int64]table.Change // by revision, as held in the store
	participants []*table.Participant
	acks         map[string]map[int]bool // by proposal ID and participant
	highest      []int64
	committedAt  time.Time // when the newest change was committed
	committed    int64
	proposals    int
}

const bound = 3 * time.Second

func newProtocol(t *rapid.T) *protocol {
	a := &protocol{t: t, now: time.Unix(1000, 0), log: map[int64]table.Change{}, acks: map[string]map[int]bool{}, highest: make([]int64, 3)}
	for range 3 {
		a.participants = append(a.participants, table.NewParticipant(bound))
	}
	return a
}

func (a *protocol) propose() {
	next := int64(len(a.log)) + 1
	if last, ok := a.log[next-1]; ok && last.Status == table.Proposed {
		return // the last entry is undecided, so the store refuses to create another
	}
	a.proposals++
	id := fmt.Sprint("p", a.proposals)
	row := table.Row{Account: "*", Target: "m", Site: "old", Weight: a.proposals}
	a.log[next] = table.Change{Revision: next, ID: id, Status: table.Proposed, Edits: []table.Edit{table.RowEdit(row, 0)}}
	a.acks[id] = map[int]bool{}
}

func (a *protocol) last() (table.Change, bool) {
	c, ok := a.log[int64(len(a.log))]
	return c, ok
}

func (a *protocol) prepare(i int) {
	c, ok := a.last()
	if ok && c.Status == table.Proposed && a.participants[i].Prepare(a.now, c) {
		a.acks[c.ID][i] = true
	}
}

func (a *protocol) decide(commit bool) {
	c, ok := a.last()
	if !ok || c.Status != table.Proposed {
		return
	}
	if commit && len(a.acks[c.ID]) < len(a.participants) {
		return
	}
	c.Status = table.Refused
	if commit {
		c.Status = table.Committed
		a.committedAt, a.committed = a.now, c.Revision
	}
	a.log[c.Revision] = c
}

// deliver passes a final entry of the log, possibly an old one, to a participant.
func (a *protocol) deliver(i int, revision int64) {
	if c, ok := a.log[revision]; ok && c.Status != table.Proposed {
		a.participants[i].Decide(c)
	}
}

// restart replaces a participant by a new one, which replays the whole log first.
func (a *protocol) restart(i int) {
	a.participants[i] = table.NewParticipant(bound)
	for r := int64(1); r <= int64(len(a.log)); r++ {
		if a.log[r].Status == table.Proposed {
			a.participants[i].Prepare(a.now, a.log[r])
			continue
		}
		a.participants[i].Decide(a.log[r])
	}
}

func (a *protocol) check() {
	for i, p := range a.participants {
		rev := p.State().Revision
		if rev < a.highest[i] {
			a.t.Fatalf("participant %d: revision fell from %d to %d", i, a.highest[i], rev)
		}
		a.highest[i] = rev
		if a.committed > rev && a.now.Sub(a.committedAt) >= bound && !p.Blocked(a.now, "acme", "m") {
			a.t.Fatalf("participant %d still uses revision %d; revision %d was committed %s ago", i, rev, a.committed, a.now.Sub(a.committedAt))
		}
	}
}

func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newProtocol(t)
		pick := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) { a.propose() },
			"prepare": func(t *rapid.T) { a.prepare(pick.Draw(t, "participant")) },
			"commit":  func(*rapid.T) { a.decide(true) },
			"refuse":  func(*rapid.T) { a.decide(false) },
			"tell": func(t *rapid.T) {
				a.deliver(pick.Draw(t, "participant"), rapid.Int64Range(1, 6).Draw(t, "revision"))
			},
			"restart": func(t *rapid.T) { a.restart(pick.Draw(t, "participant")) },
			"wait": func(t *rapid.T) {
				a.now = a.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
			},
			"": func(*rapid.T) { a.check() },
		})
	})
}
