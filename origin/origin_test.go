package origin_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gaplink/gaplink/origin"
)

var start = time.Unix(1000, 0)

func record(id, version string, attempt int) origin.Record {
	return origin.Record{Key: origin.KeyOf("acme", id), Origin: origin.Version{Service: "llm", Name: version}, Attempt: attempt}
}

func lookup(t *origin.Table, now time.Time, id string) string {
	k := t.Known(now, origin.KeyOf("acme", id))
	if !k.Known {
		return "unknown"
	}
	return k.Origin.Name
}

func TestOriginOfAStream(t *testing.T) {
	for name, c := range map[string]struct {
		records []origin.Record
		want    string
	}{
		"nothing recorded":                   {nil, "unknown"},
		"one record":                         {[]origin.Record{record("a", "v1", 1)}, "v1"},
		"an empty version is one":            {[]origin.Record{record("a", "", 1)}, ""},
		"another stream":                     {[]origin.Record{record("b", "v1", 1)}, "unknown"},
		"the same record twice":              {[]origin.Record{record("a", "v1", 1), record("a", "v1", 1)}, "v1"},
		"a later attempt":                    {[]origin.Record{record("a", "v1", 1), record("a", "v2", 2)}, "v2"},
		"a later attempt that arrived first": {[]origin.Record{record("a", "v2", 2), record("a", "v1", 1)}, "v2"},
		"two versions":                       {[]origin.Record{record("a", "v1", 1), record("a", "v2", 1)}, "unknown"},
		"two versions, and one again":        {[]origin.Record{record("a", "v1", 1), record("a", "v2", 1), record("a", "v1", 1)}, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			table := origin.NewTable(start)
			for _, r := range c.records {
				table.Record(start, r)
			}
			if got := lookup(table, start, "a"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Guards against an account that learns or changes the origin of another account's stream.
func TestAccountsDoNotShareStreams(t *testing.T) {
	if origin.KeyOf("acme", "x") == origin.KeyOf("other", "x") || origin.KeyOf("ac", "mex") == origin.KeyOf("acme", "x") {
		t.Error("two accounts share a key")
	}
}

func TestOriginsExpire(t *testing.T) {
	table := origin.NewTable(start)
	table.Record(start, record("old", "v1", 1))
	table.Record(start, record("again", "v1", 1))
	table.Record(start.Add(time.Minute), record("again", "v1", 1))
	later := start.Add(origin.Retention + time.Second)
	table.Record(later, record("new", "v1", 1))
	if got := lookup(table, later, "old"); got != "unknown" {
		t.Errorf("an expired origin is %q", got)
	}
	if got := lookup(table, later, "again"); got != "v1" || table.Len() != 2 {
		t.Errorf("an origin that was recorded again is %q; %d on record", got, table.Len())
	}
}

// Guards against memory that grows with the number of streams.
func TestOriginsAreBounded(t *testing.T) {
	table := origin.NewTable(start)
	for n := range 100_000 {
		table.Record(start.Add(time.Duration(n)*time.Millisecond), record(fmt.Sprint(n), "v1", 1))
	}
	if table.Len() > 32768 {
		t.Errorf("%d streams on record", table.Len())
	}
	if got := lookup(table, start.Add(100*time.Second), "99999"); got != "v1" {
		t.Errorf("the newest stream is %s", got)
	}
}

func TestHistoryOfVersions(t *testing.T) {
	h := origin.NewHistory()
	h.Observe(start, "llm", []string{"v1"})
	h.Observe(start.Add(time.Minute), "llm", []string{"v1", "v2"})
	h.Observe(start.Add(2*time.Minute), "llm", []string{"v2"})
	if got := h.Served("llm"); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("%v", got)
	}
	end := start.Add(time.Minute + origin.Retention + time.Second)
	h.Observe(end, "llm", []string{"v2"})
	if got := h.Served("llm"); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("%v after the last server of v1 has long been gone", got)
	}
}

func TestKnowledgeOfTwoRouters(t *testing.T) {
	v1, v2 := origin.Version{Service: "llm", Name: "v1"}, origin.Version{Service: "llm", Name: "v2"}
	nothing, ambiguous := origin.Knowledge{}, origin.Knowledge{Ambiguous: true}
	first, again, later := origin.Knowledge{Known: true, Origin: v1, Attempt: 1}, origin.Knowledge{Known: true, Origin: v2, Attempt: 1}, origin.Knowledge{Known: true, Origin: v2, Attempt: 2}
	for _, c := range []struct{ a, b, want origin.Knowledge }{
		{nothing, nothing, nothing}, {nothing, first, first}, {first, first, first}, {first, later, later}, {first, again, ambiguous}, {later, ambiguous, ambiguous}, {nothing, ambiguous, ambiguous},
	} {
		if got, back := c.a.Merge(c.b), c.b.Merge(c.a); got != c.want || back != c.want {
			t.Errorf("%+v and %+v: %+v, and %+v the other way round", c.a, c.b, got, back)
		}
	}
}
