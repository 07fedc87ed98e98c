package link

import (
	"cmp"
	"slices"
)

// sketchEntries is how many keys a Sketch holds. Any key with more than an eighth of the bytes is
// among them.
const sketchEntries = 8

// Heavy is a key of a Sketch with its bytes, which may be too many by at most Excess.
type Heavy struct {
	Key           string
	Bytes, Excess int64
}

// Sketch finds the keys with the most bytes in bounded memory, by the space-saving algorithm: a key
// that is not held replaces the one with the fewest bytes and takes over its count. The zero value is
// empty. It is not safe for concurrent use.
type Sketch struct {
	entries [sketchEntries]Heavy
	used    int
	total   int64
}

// Add adds bytes of a key.
func (s *Sketch) Add(key string, bytes int64) {
	s.total += bytes
	least := 0
	for n := range s.entries[:s.used] {
		if s.entries[n].Key == key {
			s.entries[n].Bytes += bytes
			return
		}
		if s.entries[n].Bytes < s.entries[least].Bytes {
			least = n
		}
	}
	if s.used < sketchEntries {
		s.entries[s.used] = Heavy{Key: key, Bytes: bytes}
		s.used++
		return
	}
	e := &s.entries[least]
	e.Key, e.Excess, e.Bytes = key, e.Bytes, e.Bytes+bytes
}

// Total returns the bytes of all keys.
func (s *Sketch) Total() int64 { return s.total }

// Heaviest returns the keys held, the heaviest first.
func (s *Sketch) Heaviest() []Heavy {
	all := slices.Clone(s.entries[:s.used])
	slices.SortFunc(all, func(a, b Heavy) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Key, b.Key))
	})
	return all
}
