package registry

import "github.com/gaplink/gaplink/store"

// heldChanges bounds the changes that are held for other routers: some
// releases of all servers of a large fleet.
const heldChanges = 1024

// changeLog numbers the changes of registrations.
type changeLog struct {
	held    []store.Object
	dropped int64 // the number of the last change that is not held any more
}

func (l *changeLog) add(o store.Object) {
	l.held = append(l.held, o)
	if len(l.held) > heldChanges {
		drop := len(l.held) - heldChanges/2
		l.held = append([]store.Object(nil), l.held[drop:]...)
		l.dropped += int64(drop)
	}
}

// last returns the number of the last change.
func (l *changeLog) last() int64 { return l.dropped + int64(len(l.held)) }

// since returns the changes after number seq, or false if they are not held.
func (l *changeLog) since(seq int64) ([]store.Object, bool) {
	if seq < l.dropped || seq > l.last() || seq == 0 {
		return nil, false
	}
	return l.held[seq-l.dropped:], true
}
