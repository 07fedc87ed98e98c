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

func base(t interface{ Fatal(...any) }) *table.State {
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

func TestCheckRefusesWhatMakesNoSense(t *testing.T) {
	s := base(t)
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
	rows := table.RowList(base(t))
	var b bytes.Buffer
	if err := table.WriteCSV(&b, rows); err != nil {
		t.Fatal(err)
	}
	back, err := table.ReadCSV(&b)
	if err != nil {
		t.Fatal(err)
	}
	if edits := table.DiffRows(rows, back); len(edits) != 0 {
		t.Fatalf("unchanged rows give edits: %+v", edits)
	}
	back[0].Weight = 99
	edits := table.DiffRows(rows, back[:1])
	if len(edits) != 2 || edits[0].Expect != 1 || edits[1].Value != nil {
		t.Fatalf("want one change and one deletion, got %+v", edits)
	}
	if _, err := table.ReadCSV(bytes.NewBufferString("a,b\n")); result.From(err).Code != result.BadRow {
		t.Fatalf("a wrong header was read: %v", err)
	}
}

// agreement drives one change through three participants and two proposers,
// with the actions of spec/table.pml.
type agreement struct {
	t        *rapid.T
	now      time.Time
	log      map[int64]table.Change // the store
	parts    []*table.Participant
	acks     map[string]map[int]bool // by proposal
	highest  []int64
	decided  time.Time // when the newest change was committed
	newest   int64
	proposal int
}

const bound = 3 * time.Second

func newAgreement(t *rapid.T) *agreement {
	a := &agreement{t: t, now: time.Unix(1000, 0), log: map[int64]table.Change{}, acks: map[string]map[int]bool{}, highest: make([]int64, 3)}
	for range 3 {
		a.parts = append(a.parts, table.NewParticipant(bound))
	}
	return a
}

func (a *agreement) propose() {
	next := int64(len(a.log)) + 1
	if last, ok := a.log[next-1]; ok && last.Status == table.Proposed {
		return // the log's next entry is taken: the store refuses the create
	}
	a.proposal++
	id := fmt.Sprint("p", a.proposal)
	row := table.Row{Account: "*", Target: "m", Site: "old", Weight: a.proposal}
	a.log[next] = table.Change{Revision: next, ID: id, Status: table.Proposed, Edits: []table.Edit{table.RowEdit(row, 0)}}
	a.acks[id] = map[int]bool{}
}

func (a *agreement) last() (table.Change, bool) {
	c, ok := a.log[int64(len(a.log))]
	return c, ok
}

func (a *agreement) prepare(i int) {
	c, ok := a.last()
	if ok && c.Status == table.Proposed && a.parts[i].Prepare(a.now, c) {
		a.acks[c.ID][i] = true
	}
}

func (a *agreement) decide(commit bool) {
	c, ok := a.last()
	if !ok || c.Status != table.Proposed {
		return
	}
	if commit && len(a.acks[c.ID]) < len(a.parts) {
		return
	}
	c.Status = table.Refused
	if commit {
		c.Status = table.Committed
		a.decided, a.newest = a.now, c.Revision
	}
	a.log[c.Revision] = c
}

// tell brings any entry of the log to a participant, old ones too.
func (a *agreement) tell(i int, revision int64) {
	if c, ok := a.log[revision]; ok && c.Status != table.Proposed {
		a.parts[i].Decide(c)
	}
}

// restart empties a participant, which reads the whole log before it serves.
func (a *agreement) restart(i int) {
	a.parts[i] = table.NewParticipant(bound)
	for r := int64(1); r <= int64(len(a.log)); r++ {
		if a.log[r].Status == table.Proposed {
			a.parts[i].Prepare(a.now, a.log[r])
			continue
		}
		a.parts[i].Decide(a.log[r])
	}
}

func (a *agreement) check() {
	for i, p := range a.parts {
		rev := p.State().Revision
		if rev < a.highest[i] {
			a.t.Fatalf("participant %d went back from %d to %d", i, a.highest[i], rev)
		}
		a.highest[i] = rev
		if a.newest > rev && a.now.Sub(a.decided) >= bound && !p.Blocked(a.now, "acme", "m") {
			a.t.Fatalf("participant %d works by revision %d, %d is committed since %s", i, rev, a.newest, a.now.Sub(a.decided))
		}
	}
}

func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAgreement(t)
		pick := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(*rapid.T) { a.propose() },
			"prepare": func(t *rapid.T) { a.prepare(pick.Draw(t, "participant")) },
			"commit":  func(*rapid.T) { a.decide(true) },
			"refuse":  func(*rapid.T) { a.decide(false) },
			"tell": func(t *rapid.T) {
				a.tell(pick.Draw(t, "participant"), rapid.Int64Range(1, 6).Draw(t, "revision"))
			},
			"restart": func(t *rapid.T) { a.restart(pick.Draw(t, "participant")) },
			"wait": func(t *rapid.T) {
				a.now = a.now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
			},
			"": func(*rapid.T) { a.check() },
		})
	})
}
