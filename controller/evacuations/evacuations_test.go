package evacuations_test

import (
	"slices"
	"testing"

	"go.uber.org/zap"

	"github.com/gaplink/gaplink/controller/evacuations"
	"github.com/gaplink/gaplink/store"
)

// recorder is a controller that records its calls of Changed.
type recorder struct {
	*evacuations.Controller
	calls [][]string
}

func newRecorder() *recorder {
	k := &recorder{}
	k.Controller = evacuations.New(evacuations.Options{
		Changed: func(domains []string) { k.calls = append(k.calls, domains) },
		Log:     zap.NewNop(),
	})
	return k
}

func (k *recorder) change(revision int64, objects ...store.Object) {
	k.Changed(objects)
	k.Advanced(revision)
}

func (k *recorder) expect(t *testing.T, domains ...string) {
	t.Helper()
	if got := k.Domains(); !slices.Equal(got, domains) {
		t.Fatalf("evacuated: %v, want %v", got, domains)
	}
}

// Guards against evacuations that depend on an object's value, outlast its deletion or
// affect other failure domains.
func TestEvacuationBeginsAndEnds(t *testing.T) {
	k := newRecorder()
	k.Listed(nil, 10)
	k.change(11, store.Object{Key: "evacuated/a", Value: []byte("null")})
	k.expect(t, "a")
	k.change(12, store.Object{Key: "evacuated/b", Value: []byte("{")})
	k.expect(t, "a", "b")
	k.change(13, store.Object{Key: "evacuated/a", Deleted: true})
	k.expect(t, "b")
	if len(k.calls) != 3 {
		t.Fatalf("calls of Changed: %v", k.calls)
	}
}

// Guards against an update from a stale router that evacuates a restored domain again or
// reverts an evacuation.
func TestStaleUpdateChangesNothing(t *testing.T) {
	k := newRecorder()
	k.Listed([]store.Object{{Key: "evacuated/a"}}, 20)
	k.Apply(nil, 19, "r1")
	k.expect(t, "a")
	k.change(21, store.Object{Key: "evacuated/a", Deleted: true})
	k.Apply([]string{"a"}, 20, "r1")
	k.expect(t)
	k.Apply([]string{"a"}, 22, "r1")
	k.expect(t, "a")
}

// Guards against evacuations that survive a list without them: after a gap in the change
// history, the list replaces the whole state.
func TestListReplacesTheWholeState(t *testing.T) {
	k := newRecorder()
	k.Listed([]store.Object{{Key: "evacuated/a"}, {Key: "evacuated/b"}}, 5)
	k.Listed([]store.Object{{Key: "evacuated/b"}, {Key: "evacuated/"}}, 9)
	k.expect(t, "b")
}
