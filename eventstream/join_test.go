package eventstream_test

import (
	"errors"
	"testing"

	"github.com/gaplink/gaplink/eventstream"
)

// TestRunsJoinAfterOneEvent: with one event the distance between ids is unknown, so a segment
// that starts with a larger id than the next integer may have skipped some events.
func TestRunsJoinAfterOneEvent(t *testing.T) {
	for _, k := range []struct {
		from  int
		joins bool
	}{{1, true}, {2, true}, {3, false}} {
		var at eventstream.Position
		if _, err := eventstream.NewSplitter(&at).Add([]byte(segment(1, 1, 1))); err != nil {
			t.Fatal(err)
		}
		b, err := eventstream.NewSplitter(&at).Add([]byte(segment(k.from, 5, 1)))
		if (err == nil) != k.joins || err != nil && !errors.Is(err, eventstream.ErrOutOfOrder) {
			t.Errorf("a segment from %d after 1: forwarded %q, error %v", k.from, b.Bytes, err)
		}
	}
}

// TestRepeatsMustReachThePosition: events that the caller has are dropped, so a segment that
// ends among them would end the stream at the caller's position, although that segment ended
// earlier.
func TestRepeatsMustReachThePosition(t *testing.T) {
	for last, whole := range map[int]bool{3: false, 4: true, 5: true} {
		at := eventstream.PositionAfter("4")
		s := eventstream.NewSplitter(&at)
		if _, err := s.Add([]byte(segment(1, last, 1))); err != nil {
			t.Fatal(err)
		}
		if err := s.End(); (err == nil) != whole {
			t.Errorf("a segment of events 1 to %d for a caller at 4: %v", last, err)
		}
	}
}

// TestRepeatedEventsAreCounted: their server generated them all the same.
func TestRepeatedEventsAreCounted(t *testing.T) {
	at := eventstream.PositionAfter("4")
	b, err := eventstream.NewSplitter(&at).Add([]byte(segment(1, 6, 1)))
	if err != nil || b.Events != 2 || b.Repeated != 4 {
		t.Errorf("%d events and %d repeated, %v", b.Events, b.Repeated, err)
	}
}
