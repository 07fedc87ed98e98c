package load

import (
	"errors"
	"math"
	"math/bits"
	"time"

	"github.com/gaplink/gaplink/link"
)

// A packed entry has five to seven bytes: the key with a bit that is set if pending tokens follow
// (3), the requests in flight as a rounded number (1), the number of events as a power of two and the
// age (1), then the pending tokens as a rounded number of tokenUnit (1) and the event interval (1),
// each only if there are any. A packed link has five: the key (3), and the load in both directions
// with the age (2).
const (
	maxEntryBytes = 7
	linkBytes     = 5
	// ageUnit is the resolution of ages, and maxPackedAge the largest one.
	ageUnit      = 100 * time.Millisecond
	maxPackedAge = 15 * ageUnit
	// tokenUnit is the resolution of pending tokens.
	tokenUnit = 16
	// minInterval is the shortest event interval, and intervalStep the factor between two codes.
	minInterval  = 200 * time.Microsecond
	intervalStep = 1.04
	// linkUnits is the resolution of the load of a link. The load from which a link counts as
	// saturated is a multiple of it, and rounding down keeps lower loads below it.
	linkUnits   = 40
	maxLinkCode = 63
)

// errMalformed is returned for bytes that Pack and PackLinks do not produce.
var errMalformed = errors.New("load: malformed message")

// Pack encodes entries in the given order until the limit of bytes is reached, and returns how many
// it considered. Entries that are too old are left out.
func Pack(entries []Entry, now time.Time, limit int) (packed []byte, n int) {
	for _, e := range entries {
		if len(packed)+maxEntryBytes > limit {
			break
		}
		n++
		if age, ok := packAge(now, e.At); ok {
			packed = appendEntry(packed, e, age)
		}
	}
	return packed, n
}

func appendEntry(b []byte, e Entry, age byte) []byte {
	key, pending := uint32(e.Server)<<1, round(uint64(e.PendingTokens+tokenUnit/2)/tokenUnit)
	if pending > 0 {
		key |= 1
	}
	events := packEvents(e.Events)
	b = append(b, byte(key>>16), byte(key>>8), byte(key), round(uint64(e.InFlight)), events<<4|age)
	if pending > 0 {
		b = append(b, pending)
	}
	if events > 0 {
		b = append(b, packInterval(e.EventInterval))
	}
	return b
}

// Unpack decodes entries that were packed at a time.
func Unpack(b []byte, packedAt time.Time) ([]Entry, error) {
	var entries []Entry
	for len(b) > 0 {
		if len(b) < 5 {
			return nil, errMalformed
		}
		key, events := uint32(b[0])<<16|uint32(b[1])<<8|uint32(b[2]), b[4]>>4
		e := Entry{Server: Key(key >> 1), InFlight: int(expand(b[3])), At: packedAt.Add(-time.Duration(b[4]&15) * ageUnit)}
		b = b[5:]
		if key&1 != 0 {
			if len(b) == 0 {
				return nil, errMalformed
			}
			e.PendingTokens, b = int64(expand(b[0]))*tokenUnit, b[1:]
		}
		if events > 0 {
			if len(b) == 0 {
				return nil, errMalformed
			}
			e.Events, e.EventInterval, b = 1<<(events-1), unpackInterval(b[0]), b[1:]
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// PackLinks encodes the load of links, of which the receiver knows the failure domain.
func PackLinks(links []Link, now time.Time) (packed []byte) {
	for _, l := range links {
		age, ok := packAge(now, l.At)
		if !ok {
			continue
		}
		key, load := uint32(l.Router)<<1, packLoad(l.Load.In)<<10|packLoad(l.Load.Out)<<4|uint16(age)
		packed = append(packed, byte(key>>16), byte(key>>8), byte(key), byte(load>>8), byte(load))
	}
	return packed
}

// UnpackLinks decodes the load of links of a failure domain that were packed at a time.
func UnpackLinks(b []byte, domain string, packedAt time.Time) ([]Link, error) {
	if len(b)%linkBytes != 0 {
		return nil, errMalformed
	}
	links := make([]Link, 0, len(b)/linkBytes)
	for ; len(b) > 0; b = b[linkBytes:] {
		load := uint16(b[3])<<8 | uint16(b[4])
		links = append(links, Link{
			Router: Key((uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])) >> 1),
			Domain: domain,
			Load:   link.Load{In: float64(load>>10) / linkUnits, Out: float64(load>>4&maxLinkCode) / linkUnits},
			At:     packedAt.Add(-time.Duration(load&15) * ageUnit),
		})
	}
	return links, nil
}

// packAge encodes the age of an observation, rounded up; false if it is too old.
func packAge(now, at time.Time) (byte, bool) {
	age := max(now.Sub(at), 0)
	return byte((age + ageUnit - 1) / ageUnit), age <= maxPackedAge
}

// packEvents encodes a number of events as the nearest power of two, plus one.
func packEvents(n int) byte {
	if n <= 0 {
		return 0
	}
	return byte(min(1+int(math.Round(math.Log2(float64(n)))), 15))
}

func packInterval(d time.Duration) byte {
	if d <= minInterval {
		return 0
	}
	return byte(min(math.Round(math.Log(float64(d)/float64(minInterval))/math.Log(intervalStep)), 255))
}

func unpackInterval(code byte) time.Duration {
	return time.Duration(float64(minInterval) * math.Pow(intervalStep, float64(code)))
}

func packLoad(x float64) uint16 { return uint16(min(x*linkUnits, maxLinkCode)) }

// round encodes a number in a byte with five significant bits: exactly up to 31, then the nearest
// that expand returns.
func round(v uint64) byte {
	const largest = 31 << 14
	v = min(v, largest)
	shift := max(bits.Len64(v)-5, 0)
	mantissa := v
	if shift > 0 {
		mantissa = (v + 1<<(shift-1)) >> shift
	}
	if mantissa == 32 {
		mantissa, shift = 16, shift+1
	}
	if mantissa < 16 {
		return byte(mantissa)
	}
	return byte(16*shift) + byte(mantissa)
}

// expand decodes a byte of round.
func expand(code byte) uint64 {
	if code < 32 {
		return uint64(code)
	}
	shift := code/16 - 1
	return uint64(code-16*shift) << shift
}
