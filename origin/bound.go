package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Bound holds the streams of one router that are bound to a version, by an event that may have reached their callers, and
// have not ended. Unlike the record of an attempt, which may bring no event, no later one replaces it. It is not safe
// for concurrent use.
type Bound struct {
	streams map[Key]boundStream
	most    int
}

type boundStream struct {
	// origin is the version; ambiguous is set if two have been recorded.
	origin    Version
	ambiguous bool
	at        time.Time
}

// NewBound returns an empty set that holds some more than the given number of streams at most.
func NewBound(most int) *Bound { return &Bound{streams: map[Key]boundStream{}, most: most} }

// Add adds a stream that is bound to a version. Two versions make it ambiguous, unless they are of two services: the
// route leads to another one then.
func (b *Bound) Add(now time.Time, key Key, v Version) {
	s, ok := b.streams[key]
	s.ambiguous = ok && s.origin.Service == v.Service && (s.ambiguous || s.origin != v)
	s.origin, s.at = v, now
	b.streams[key] = s
	if len(b.streams) > b.most+b.most/8 {
		b.trim(now)
	}
}

// Remove removes a stream that has ended.
func (b *Bound) Remove(key Key) { delete(b.streams, key) }

// Of returns what is known of a stream.
func (b *Bound) Of(key Key) Knowledge {
	s, ok := b.streams[key]
	return Knowledge{Known: ok && !s.ambiguous, Ambiguous: s.ambiguous, Origin: s.origin}
}

// Records returns the streams of a service.
func (b *Bound) Records(now time.Time, service string) (list []Record) {
	b.trim(now)
	for key, s := range b.streams {
		if s.origin.Service == service && !s.ambiguous {
			list = append(list, Record{Key: key, Origin: s.origin, Attempt: 1})
		}
	}
	return list
}

// Len returns the number of streams.
func (b *Bound) Len() int { return len(b.streams) }

// trim removes expired streams and the oldest beyond the limit.
func (b *Bound) trim(now time.Time) {
	maps.DeleteFunc(b.streams, func(_ Key, s boundStream) bool { return now.Sub(s.at) > Retention })
	if len(b.streams) <= b.most {
		return
	}
	keys := slices.SortedFunc(maps.Keys(b.streams), func(x, y Key) int { return b.streams[x].at.Compare(b.streams[y].at) })
	for _, key := range keys[:len(keys)-b.most] {
		delete(b.streams, key)
	}
}

// storedBound is the stored form of Bound.
type storedBound struct {
	Origins []Version `json:"origins"`
	// Streams holds each stream's key and the index of its origin, as base64.
	Streams string `json:"streams"`
}

// boundSize is the encoded size of a stream in bytes.
const boundSize = len(Key{}) + 2

var errBoundSize = errors.New("origin: truncated streams")

// Encode returns the stored form of the streams that are not expired. Ambiguous ones are stored with each version.
func (b *Bound) Encode(now time.Time) ([]byte, error) {
	b.trim(now)
	var stored storedBound
	index := map[Version]uint16{}
	var packed []byte
	for key, s := range b.streams {
		at, ok := index[s.origin]
		if !ok {
			if len(index) >= maxVersions {
				continue
			}
			at = uint16(len(index))
			index[s.origin] = at
			stored.Origins = append(stored.Origins, s.origin)
		}
		packed = binary.BigEndian.AppendUint16(append(packed, key[:]...), at)
		if s.ambiguous {
			packed = binary.BigEndian.AppendUint16(append(packed, key[:]...), ambiguousIndex)
		}
	}
	stored.Streams = base64.StdEncoding.EncodeToString(packed)
	return json.Marshal(stored)
}

// ambiguousIndex stands for an origin that contradicts the others.
const ambiguousIndex = 1<<16 - 1

// Merge adds the streams of a stored form. It fails if the value is not a valid one.
func (b *Bound) Merge(now time.Time, value []byte) error {
	var stored storedBound
	if err := json.Unmarshal(value, &stored); err != nil {
		return err
	}
	packed, err := base64.StdEncoding.DecodeString(stored.Streams)
	if err != nil {
		return err
	}
	if len(packed)%boundSize != 0 {
		return errBoundSize
	}
	for ; len(packed) > 0; packed = packed[boundSize:] {
		key, at := Key(packed[:len(Key{})]), int(binary.BigEndian.Uint16(packed[len(Key{}):]))
		if err := b.merge(now, key, at, stored.Origins); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bound) merge(now time.Time, key Key, at int, origins []Version) error {
	switch {
	case at < len(origins):
		b.Add(now, key, origins[at])
	case at == ambiguousIndex:
		s := b.streams[key]
		s.ambiguous, s.at = true, now
		b.streams[key] = s
	default:
		return fmt.Errorf("origin: stream of origin %d of %d", at, len(origins))
	}
	return nil
}
