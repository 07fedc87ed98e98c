package eventstream_test

import (
	"errors"
	"testing"

	"github.com/gaplink/gaplink/eventstream"
)

// TestRunsJoinAfterOneEvent: a caller that has one event shows no distance of ids, so
// that a run with a larger id than the next whole number may have left some out.
func TestRunsJoinAfterOneEvent(t *testing.T) {
	for _, k := range []struct {
		from  int
		joins bool
	}{{1, true}, {2, true}, {3, false}} {
		var at eventstream.Position
		if _, err := eventstream.NewSplitter(&at).Add([]byte(run(1, 1, 1))); err != nil {
			t.Fatal(err)
		}
		b, err := eventstream.NewSplitter(&at).Add([]byte(run(k.from, 5, 1)))
		if (err == nil) != k.joins || err != nil && !errors.Is(err, eventstream.ErrOrder) {
			t.Errorf("a run from %d after 1: passed on %q, error %v", k.from, b.Bytes, err)
		}
	}
}
