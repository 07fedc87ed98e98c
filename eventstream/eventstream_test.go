package eventstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/eventstream"
)

func event(n int, nl string) string {
	return fmt.Sprintf("id: %d%sdata: x%d%s%s", n, nl, n, nl, nl)
}

// TestWholeEventsOnly: however a stream is split into reads, the output is its whole events,
// each once and in order.
func TestWholeEventsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nl := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		var all, whole bytes.Buffer
		count := rapid.IntRange(0, 20).Draw(t, "events")
		for n := 1; n <= count; n++ {
			all.WriteString(event(n, nl))
		}
		whole.Write(all.Bytes())
		last := event(count+1, nl)
		cut := rapid.IntRange(0, len(last)-1).Draw(t, "cut")
		all.WriteString(last[:cut])

		s := eventstream.NewSplitter(new(eventstream.Position))
		var out bytes.Buffer
		events, lastID := 0, ""
		for data := all.Bytes(); len(data) > 0; {
			n := rapid.IntRange(1, len(data)).Draw(t, "piece")
			b, err := s.Add(data[:n])
			if err != nil {
				t.Fatal(err)
			}
			out.Write(b.Bytes)
			events += b.Events
			if b.LastID != "" {
				lastID = b.LastID
			}
			data = data[n:]
		}
		if !bytes.Equal(out.Bytes(), whole.Bytes()) || events != count {
			t.Fatalf("got %q (%d events), want %q", out.Bytes(), events, whole.Bytes())
		}
		if count > 0 && lastID != fmt.Sprint(count) {
			t.Fatalf("last id %q", lastID)
		}
		if err := s.End(); errors.Is(err, eventstream.ErrUnfinished) != (cut > 0) {
			t.Fatalf("end %v with %d bytes of an event", err, cut)
		}
	})
}

// TestResumedStreamDropsKnownEvents: events that the caller already has are not forwarded
// again.
func TestResumedStreamDropsKnownEvents(t *testing.T) {
	at := eventstream.PositionAfter("2")
	s := eventstream.NewSplitter(&at)
	b, err := s.Add([]byte(event(1, "\n") + event(2, "\n") + event(3, "\n")))
	if err != nil || string(b.Bytes) != event(3, "\n") || b.Events != 1 || b.LastID != "3" {
		t.Fatalf("got %q, %v", b.Bytes, err)
	}
}

// TestSegmentsJoinExactlyOrNotAtAll: whatever a second server sends, the caller gets the
// events of one stream, each once and in order, or the segments are not joined.
func TestSegmentsJoinExactlyOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		step := rapid.IntRange(1, 3).Draw(t, "distance of ids")
		passed := rapid.IntRange(2, 8).Draw(t, "events passed")
		var at eventstream.Position
		first, err := eventstream.NewSplitter(&at).Add([]byte(segment(1, passed, step)))
		if err != nil {
			t.Fatal(err)
		}
		out := string(first.Bytes)
		from := rapid.IntRange(1, passed+3).Draw(t, "second run from")
		to := rapid.IntRange(from, passed+6).Draw(t, "second run to")
		second := eventstream.NewSplitter(&at)
		b, err := second.Add([]byte(segment(from, to, step)))
		out += string(b.Bytes)
		if err == nil {
			err = second.End()
		}
		joins := from <= passed+1 && to >= passed
		want := passed
		if joins {
			want = to
		}
		if out != segment(1, want, step) {
			t.Fatalf("got %q", out)
		}
		if (err == nil) != joins || err != nil && !errors.Is(err, eventstream.ErrOutOfOrder) {
			t.Fatalf("error %v for a segment from %d to %d after %d", err, from, to, passed)
		}
	})
}

// segment formats the events first to last with ids that are step apart.
func segment(first, last, step int) string {
	var b bytes.Buffer
	for n := first; n <= last; n++ {
		b.WriteString(event(n*step, "\n"))
	}
	return b.String()
}

// TestCommentsDoNotChangeThePosition: a server may send comments at any time to keep a
// connection open.
func TestCommentsDoNotChangeThePosition(t *testing.T) {
	at := eventstream.PositionAfter("2")
	for _, data := range []string{": waiting\n\n" + event(3, "\n"), ": waiting\n\n" + event(4, "\n")} {
		b, err := eventstream.NewSplitter(&at).Add([]byte(data))
		if err != nil || string(b.Bytes) != data || b.Events != 1 {
			t.Fatalf("got %q with %d events, %v", b.Bytes, b.Events, err)
		}
	}
	if !at.Resumable() || at.LastID() != "4" {
		t.Fatalf("at %q, resumable %t", at.LastID(), at.Resumable())
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		s := eventstream.NewSplitter(new(eventstream.Position))
		total := 0
		for rest := data; len(rest) > 0; {
			n := min(max(piece, 1), len(rest))
			b, err := s.Add(rest[:n])
			total += len(b.Bytes)
			if err != nil {
				break
			}
			rest = rest[n:]
		}
		if total > len(data) {
			t.Fatalf("%d bytes came out of %d", total, len(data))
		}
	})
}
