package eventstream_test

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/eventstream"
)

func event(n int, nl string) string {
	return fmt.Sprintf("id: %d%sdata: x%d%s%s", n, nl, n, nl, nl)
}

// TestWholeEventsOnly: however a stream is cut into pieces, what comes out are
// its whole events, each once, in order.
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

		s := eventstream.NewSplitter("")
		var out bytes.Buffer
		events, lastID := 0, ""
		for data := all.Bytes(); len(data) > 0; {
			n := rapid.IntRange(1, len(data)).Draw(t, "piece")
			b := s.Add(data[:n])
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
		if s.Rest() != (cut > 0) {
			t.Fatalf("rest %t with %d bytes of an event", s.Rest(), cut)
		}
	})
}

// TestResumedStreamDropsKnownEvents: events that the caller has already are not
// passed on again.
func TestResumedStreamDropsKnownEvents(t *testing.T) {
	s := eventstream.NewSplitter("2")
	b := s.Add([]byte(event(1, "\n") + event(2, "\n") + event(3, "\n")))
	if string(b.Bytes) != event(3, "\n") || b.Events != 1 || b.LastID != "3" {
		t.Fatalf("got %q", b.Bytes)
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		s := eventstream.NewSplitter("")
		total := 0
		for rest := data; len(rest) > 0; {
			n := min(max(piece, 1), len(rest))
			total += len(s.Add(rest[:n]).Bytes)
			rest = rest[n:]
		}
		if total > len(data) {
			t.Fatalf("%d bytes came out of %d", total, len(data))
		}
	})
}
