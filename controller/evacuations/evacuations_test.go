package evacuations_test

import (
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/store"
)

// known is a controller with what it told of itself.
type known struct {
	*evacuations.Controller
	told [][]string
}

func newKnown() *known {
	k := &known{}
	k.Controller = evacuations.New(evacuations.Options{
		Changed: func(domains []string) { k.told = append(k.told, domains) },
		Log:     zap.NewNop(),
	})
	return k
}

func (k *known) change(revision int64, objects ...store.Object) {
	k.Changed(objects)
	k.Advanced(revision)
}

func (k *known) expect(t *testing.T, domains ...string) {
	t.Helper()
	if got := k.Domains(); !slices.Equal(got, domains) {
		t.Fatalf("evacuated: %v, want %v", got, domains)
	}
}

// TestEvacuationBeginsAndEnds: an object empties the domain of its name until it is
// deleted, whatever it holds; others are not touched.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	k := newKnown()
	k.Listed(nil, 10)
	k.change(11, store.Object{Key: "evacuated/a", Value: []byte("null")})
	k.expect(t, "a")
	k.change(12, store.Object{Key: "evacuated/b", Value: []byte("{")})
	k.expect(t, "a", "b")
	k.change(13, store.Object{Key: "evacuated/a", Deleted: true})
	k.expect(t, "b")
	if len(k.told) != 3 {
		t.Fatalf("told %v", k.told)
	}
}

// TestOlderNewsChangesNothing: a router that is behind neither empties a domain again
// nor takes an evacuation back.
func TestOlderNewsChangesNothing(t *testing.T) {
	k := newKnown()
	k.Listed([]store.Object{{Key: "evacuated/a"}}, 20)
	k.Take(nil, 19, "r1")
	k.expect(t, "a")
	k.change(21, store.Object{Key: "evacuated/a", Deleted: true})
	k.Take([]string{"a"}, 20, "r1")
	k.expect(t)
	k.Take([]string{"a"}, 22, "r1")
	k.expect(t, "a")
}

// TestListThatMissedChangesIsTakenWhole: after a gap in the history the list alone
// counts.
func TestListThatMissedChangesIsTakenWhole(t *testing.T) {
	k := newKnown()
	k.Listed([]store.Object{{Key: "evacuated/a"}, {Key: "evacuated/b"}}, 5)
	k.Listed([]store.Object{{Key: "evacuated/b"}, {Key: "evacuated/"}}, 9)
	k.expect(t, "b")
}
