package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gaplink/gaplink/origin"
)

func boundOf(t *testing.T, values ...[]byte) *origin.Bound {
	t.Helper()
	b := origin.NewBound(100_000)
	for _, value := range values {
		if err := b.Merge(start, value); err != nil {
			t.Fatal(err)
		}
	}
	return b
}

func encode(t *testing.T, b *origin.Bound, now time.Time) []byte {
	t.Helper()
	value, err := b.Encode(now)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestBoundStreamsAreStored(t *testing.T) {
	b := origin.NewBound(100)
	keyOf := func(id string) origin.Key { return origin.KeyOf("acme", id) }
	v1, v2, unnamed := origin.Version{Service: "llm", Name: "v1"}, origin.Version{Service: "llm", Name: "v2"}, origin.Version{Service: "other"}
	b.Add(start, keyOf("a"), v1)
	b.Add(start, keyOf("b"), unnamed)
	b.Add(start, keyOf("ended"), v1)
	b.Add(start, keyOf("two"), v1)
	b.Add(start, keyOf("two"), v2)
	b.Remove(keyOf("ended"))
	for i := range 2 {
		read := boundOf(t, encode(t, b, start))
		for id, want := range map[string]origin.Knowledge{
			"a": {Known: true, Origin: v1}, "b": {Known: true, Origin: unnamed}, "ended": {}, "two": {Ambiguous: true, Origin: v2},
		} {
			got := read.Of(keyOf(id))
			if got.Known != want.Known || got.Ambiguous != want.Ambiguous || got.Known && got.Origin != want.Origin {
				t.Errorf("%s after %d: %+v, want %+v", id, i, got, want)
			}
		}
		b = read
	}
	if expired := boundOf(t, encode(t, b, start.Add(origin.Retention+time.Second))); expired.Len() > 0 {
		t.Errorf("%d expired streams are stored", expired.Len())
	}
}

func TestUnendedStreams(t *testing.T) {
	b := origin.NewBound(10)
	for _, id := range []string{"a", "b", "two"} {
		b.Add(start, origin.KeyOf("acme", id), origin.Version{Service: "llm", Name: "v1"})
	}
	b.Add(start, origin.KeyOf("acme", "two"), origin.Version{Service: "llm", Name: "v2"})
	b.Add(start, origin.KeyOf("acme", "other"), origin.Version{Service: "other", Name: "v1"})
	b.Remove(origin.KeyOf("acme", "a"))
	list := b.Records(start, "llm")
	if len(list) != 1 || list[0].Key != origin.KeyOf("acme", "b") {
		t.Errorf("%+v", list)
	}
}

// Guards against stored forms of two routers that contradict each other.
func TestContradictingBoundStreams(t *testing.T) {
	var values [][]byte
	for _, name := range []string{"v1", "v2"} {
		b := origin.NewBound(10)
		b.Add(start, origin.KeyOf("acme", "a"), origin.Version{Service: "llm", Name: name})
		values = append(values, encode(t, b, start))
	}
	if got := boundOf(t, values...).Of(origin.KeyOf("acme", "a")); got.Known || !got.Ambiguous {
		t.Errorf("%+v", got)
	}
}

// Guards against objects and memory that grow with the number of streams, and against dropping the newest.
func TestBoundStreamsAreBounded(t *testing.T) {
	b := origin.NewBound(2048)
	for n := range 20_000 {
		b.Add(start.Add(time.Duration(n)*time.Millisecond), origin.KeyOf("acme", fmt.Sprint(n)), origin.Version{Service: "llm", Name: "v1"})
	}
	value := encode(t, b, start.Add(20*time.Second))
	if b.Len() > 2048 || len(value) > 25*2048 {
		t.Errorf("%d streams in %d bytes", b.Len(), len(value))
	}
	if got := boundOf(t, value).Of(origin.KeyOf("acme", "19999")); !got.Known {
		t.Error("the newest stream is lost")
	}
}

func TestMalformedBoundStreams(t *testing.T) {
	for name, value := range map[string]string{
		"empty": "", "no object": "[]", "no base64": `{"streams":"!"}`, "truncated": `{"streams":"AAAA"}`,
		"no such origin": `{"origins":[],"streams":"AAAAAAAAAAAAAAAAAAAAAAAA"}`,
	} {
		t.Run(name, func(t *testing.T) {
			if err := origin.NewBound(10).Merge(start, []byte(value)); err == nil {
				t.Error("no error")
			}
		})
	}
}
