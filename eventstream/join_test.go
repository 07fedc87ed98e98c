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

// TestRepeatsMustReachThePoint: events that the caller has are left out, so a run that
// ends among them would end the stream where the caller is, though that run says that
// it ended before.
func TestRepeatsMustReachThePoint(t *testing.T) {
	for last, whole := range map[int]bool{3: false, 4: true, 5: true} {
		at := eventstream.After("4")
		s := eventstream.NewSplitter(&at)
		if _, err := s.Add([]byte(run(1, last, 1))); err != nil {
			t.Fatal(err)
		}
		if err := s.End(); (err == nil) != whole {
			t.Errorf("a run of events 1 to %d for a caller at 4: %v", last, err)
		}
	}
}

// TestRepeatedEventsAreCounted: their server has made them all the same.
func TestRepeatedEventsAreCounted(t *testing.T) {
	at := eventstream.After("4")
	b, err := eventstream.NewSplitter(&at).Add([]byte(run(1, 6, 1)))
	if err != nil || b.Events != 2 || b.Repeated != 4 {
		t.Errorf("%d events and %d repeated, %v", b.Events, b.Repeated, err)
	}
}
