package load_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gaplink/gaplink/link"
	"github.com/gaplink/gaplink/load"
)

// epoch is the time at which the tests begin.
var epoch = time.Unix(1_800_000_000, 0)

// near reports whether two numbers differ by at most a factor, or by one.
func near(a, b, factor float64) bool {
	return math.Abs(a-b) <= 1 || a <= b*factor && b <= a*factor
}

func drawEntry(t *rapid.T) load.Entry {
	e := load.Entry{
		Server:        load.Key(rapid.Uint32Range(0, 1<<23-1).Draw(t, "key")),
		InFlight:      rapid.IntRange(0, 10_000).Draw(t, "in flight"),
		PendingTokens: rapid.Int64Range(0, 8_000_000).Draw(t, "pending"),
		Events:        rapid.IntRange(0, 16_000).Draw(t, "events"),
		At:            epoch.Add(-time.Duration(rapid.IntRange(0, 1500).Draw(t, "age")) * time.Millisecond),
	}
	if e.Events > 0 {
		e.EventInterval = time.Duration(rapid.IntRange(200, 4_000_000).Draw(t, "interval")) * time.Microsecond
	}
	return e
}

// Guards against figures that change on the way by more than the resolution of messages, and against
// ages that become lower.
func TestEntriesSurvivePacking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.SliceOfN(rapid.Custom(drawEntry), 0, 20).Draw(t, "entries")
		packed, n := load.Pack(entries, epoch, math.MaxInt)
		got, err := load.Unpack(packed, epoch)
		if err != nil || n != len(entries) || len(got) != n || len(packed) > 7*n {
			t.Fatalf("%d entries of %d in %d bytes, %v", len(got), len(entries), len(packed), err)
		}
		for i, want := range entries {
			is := got[i]
			if is.Server != want.Server || !near(float64(is.InFlight), float64(want.InFlight), 1.033) {
				t.Errorf("%+v, want %+v", is, want)
			}
			if math.Abs(float64(is.PendingTokens-want.PendingTokens)) > 8+0.033*float64(want.PendingTokens) {
				t.Errorf("%d tokens, want %d", is.PendingTokens, want.PendingTokens)
			}
			if !near(float64(is.Events), float64(want.Events), 1.42) || !near(float64(is.EventInterval), float64(want.EventInterval), 1.021) {
				t.Errorf("interval %s of %d, want %s of %d", is.EventInterval, is.Events, want.EventInterval, want.Events)
			}
			if is.At.After(want.At) || want.At.Sub(is.At) >= 100*time.Millisecond {
				t.Errorf("at %s, want %s", is.At, want.At)
			}
		}
	})
}

// Guards against small counts that are rounded: whether a slot is free depends on one request.
func TestSmallCountsAreExact(t *testing.T) {
	for n := range 32 {
		packed, _ := load.Pack([]load.Entry{{InFlight: n, At: epoch}}, epoch, math.MaxInt)
		if got, err := load.Unpack(packed, epoch); err != nil || got[0].InFlight != n {
			t.Errorf("%d becomes %v, %v", n, got, err)
		}
	}
}

// Guards against a message beyond its limit, and against old figures that look newer than they are.
func TestPackIsBounded(t *testing.T) {
	entries := make([]load.Entry, 100)
	for i := range entries {
		entries[i] = load.Entry{Server: load.Key(i), InFlight: 1, PendingTokens: 5000, Events: 3, EventInterval: time.Millisecond, At: epoch}
	}
	packed, n := load.Pack(entries, epoch, 300)
	if len(packed) > 300 || n != 300/7 {
		t.Errorf("%d entries in %d bytes", n, len(packed))
	}
	packed, n = load.Pack(entries[:3], epoch.Add(1501*time.Millisecond), 300)
	if len(packed) != 0 || n != 3 {
		t.Errorf("%d old entries in %d bytes", n, len(packed))
	}
}

// Guards against bytes of a faulty router that stop the receiver or are taken for figures.
func TestMalformedBytesAreRejected(t *testing.T) {
	for _, b := range [][]byte{{1}, {0, 0, 0, 1}, {0, 0, 1, 1, 0}, {0, 0, 0, 1, 0x10}, {0, 0, 1, 1, 0x10, 9}} {
		if got, err := load.Unpack(b, epoch); err == nil {
			t.Errorf("%v accepted as %+v", b, got)
		}
	}
	if got, err := load.UnpackLinks([]byte{1, 2, 3, 4, 5, 6}, "a", epoch); err == nil {
		t.Errorf("accepted as %+v", got)
	}
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = load.Unpack(b, epoch)
		_, _ = load.UnpackLinks(b, "a", epoch)
	})
}

// Guards against a link that counts as saturated at the receiver only, or at its own router only.
func TestLinkLoadsSurvivePacking(t *testing.T) {
	for _, x := range []float64{0, 0.1, 0.799, 0.8, 0.81, 1.2, 7} {
		l := load.Link{Router: load.RouterKey("r1"), Domain: "a", Load: link.Load{In: x, Out: x / 2}, At: epoch.Add(-250 * time.Millisecond)}
		got, err := load.UnpackLinks(load.PackLinks([]load.Link{l}, epoch), "a", epoch)
		if err != nil || len(got) != 1 {
			t.Fatalf("%+v, %v", got, err)
		}
		is := got[0]
		if is.Router != l.Router || is.Domain != "a" || is.At != epoch.Add(-300*time.Millisecond) {
			t.Errorf("%+v, want %+v", is, l)
		}
		if (is.Load.In >= 0.8) != (x >= 0.8) || is.Load.In > x || x < 1.5 && x-is.Load.In > 0.026 {
			t.Errorf("%g becomes %g", x, is.Load.In)
		}
	}
}
