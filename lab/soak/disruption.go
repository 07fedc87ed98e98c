package soak

import (
	"fmt"
	"time"
)

// Subject is what a fault disturbs.
type Subject string

// StoreItself is the store, for all routers.
const StoreItself Subject = "store"

// ProcessOf is a router's process.
func ProcessOf(router int) Subject { return Subject(fmt.Sprint("process ", router)) }

// StopOf is a planned stop of a router's process and the start after it.
func StopOf(router int) Subject { return Subject(fmt.Sprint("stop ", router)) }

// StoreLinkOf is the link between a router and the store.
func StoreLinkOf(router int) Subject { return Subject(fmt.Sprint("store link ", router)) }

// ServerAt is a backend server's place and the link to it.
func ServerAt(place int) Subject { return Subject(fmt.Sprint("server ", place)) }

type span struct{ from, to time.Time }

// Disruptions remember when what was disturbed. The zero value is ready.
type Disruptions struct {
	spans map[Subject][]*span
}

// Add notes a disturbance that lasts until the function that is returned is called
// with its end.
func (d *Disruptions) Add(s Subject, from time.Time) (end func(time.Time)) {
	if d.spans == nil {
		d.spans = map[Subject][]*span{}
	}
	one := &span{from: from}
	d.spans[s] = append(d.spans[s], one)
	return func(at time.Time) { one.to = at }
}

// Calm tells whether nothing disturbed any of the subjects in that time.
func (d *Disruptions) Calm(from, to time.Time, subjects ...Subject) bool {
	for _, s := range subjects {
		for _, one := range d.spans[s] {
			if !one.from.After(to) && (one.to.IsZero() || !one.to.Before(from)) {
				return false
			}
		}
	}
	return true
}
