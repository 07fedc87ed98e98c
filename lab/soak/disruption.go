package soak

import (
	"fmt"
	"time"
)

// Component is a part of the fleet that a fault disrupts.
type Component string

// StoreComponent is the store as seen by all routers.
const StoreComponent Component = "store"

// RouterProcess returns the component for a router's process.
func RouterProcess(router int) Component { return Component(fmt.Sprint("process ", router)) }

// PlannedStop returns the component for a planned stop of a router's process and the restart that
// follows.
func PlannedStop(router int) Component { return Component(fmt.Sprint("stop ", router)) }

// StoreLink returns the component for the link between a router and the store.
func StoreLink(router int) Component { return Component(fmt.Sprint("store link ", router)) }

// ServerAtSlot returns the component for the backend server at a slot and the link to it.
func ServerAtSlot(slot int) Component { return Component(fmt.Sprint("server ", slot)) }

// ServerLinks returns the component for the links between a router and all backend servers.
func ServerLinks(router int) Component { return Component(fmt.Sprint("server links ", router)) }

type interval struct{ from, to time.Time }

// Disruptions records when each component was disrupted. The zero value is ready to use.
type Disruptions struct {
	intervals map[Component][]*interval
}

// Add records a disruption that starts at from. The returned function sets its end.
func (d *Disruptions) Add(s Component, from time.Time) (end func(time.Time)) {
	if d.intervals == nil {
		d.intervals = map[Component][]*interval{}
	}
	iv := &interval{from: from}
	d.intervals[s] = append(d.intervals[s], iv)
	return func(at time.Time) { iv.to = at }
}

// within reports whether a component is disrupted at a time, and has been for a while.
func (d *Disruptions) within(at time.Time, since time.Duration, s Component) bool {
	for _, iv := range d.intervals[s] {
		if !iv.from.Add(since).After(at) && (iv.to.IsZero() || iv.to.After(at)) {
			return true
		}
	}
	return false
}

// Undisrupted reports whether none of the components was disrupted between from and to.
func (d *Disruptions) Undisrupted(from, to time.Time, components ...Component) bool {
	for _, s := range components {
		for _, iv := range d.intervals[s] {
			if !iv.from.After(to) && (iv.to.IsZero() || !iv.to.Before(from)) {
				return false
			}
		}
	}
	return true
}
