package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gaplink/gaplink/platform/standin"
)

// BrittlePeriod is a time in which all servers say that they are brittle.
type BrittlePeriod struct{ At, Duration time.Duration }

const (
	// brittleStream is the stream of random numbers from which the periods are drawn.
	brittleStream = 1 << 32
	// meanBrittleInterval is the mean time between two periods; minBrittle and maxBrittle bound one.
	meanBrittleInterval = 6 * time.Second
	minBrittle          = 6 * time.Second
	maxBrittle          = 12 * time.Second
	// brittleSlots is the number of requests that a server runs at a time in runs with brittle servers, and
	// brittleQueue how many more it lets wait until it may fall over.
	brittleSlots = 2
	brittleQueue = 3
	// brittleRejections is the number of rejections in a second beyond which a server falls over, and
	// fallDowntime how long it is down then.
	brittleRejections = 4
	fallDowntime      = 2 * time.Second
)

// BrittlePeriods draws the periods of a run.
func BrittlePeriods(seed uint64, length time.Duration) (list []BrittlePeriod) {
	rng := rand.New(rand.NewPCG(seed, brittleStream))
	for at := quietMargin; at < length-quietMargin; {
		p := BrittlePeriod{At: at, Duration: minBrittle + time.Duration(rng.Int64N(int64(maxBrittle-minBrittle)))}
		list = append(list, p)
		at += p.Duration + time.Duration(rng.ExpFloat64()*float64(meanBrittleInterval))
	}
	return list
}

// runBrittlePeriods makes the servers brittle at the times of the periods.
func (f *fleet) runBrittlePeriods(ctx context.Context, list []BrittlePeriod) {
	start := time.Now()
	for _, p := range list {
		for _, at := range []struct {
			after   time.Duration
			brittle bool
		}{{p.At, true}, {p.At + p.Duration, false}} {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(start.Add(at.after))):
			}
			for _, s := range f.slots {
				s.room.setBrittle(at.brittle, time.Now())
			}
			f.oracle.SetBrittle(at.brittle, len(f.slots))
		}
	}
}

// room is the room of the server at a slot. A nil room has no bound.
type room struct {
	mu     sync.Mutex
	inside int
	// saidSince is when the server began to say that it is brittle; zero: it does not.
	saidSince time.Time
	// rejected are the requests rejected for want of room in the second that began at second.
	rejected []string
	second   time.Time
}

// setBrittle sets whether the server says that it is brittle.
func (r *room) setBrittle(brittle bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saidSince = time.Time{}
	if brittle {
		r.saidSince = at
	}
}

// reset empties the room for a server that starts.
func (r *room) reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside, r.rejected = 0, nil
}

// saysBrittle reports whether the server says that it is brittle.
func (r *room) saysBrittle() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.saidSince.IsZero()
}

// enter reports whether the server accepts a request, and otherwise the rejected requests under which it falls
// over, if it does.
func (r *room) enter(request string, quiet time.Duration, now time.Time) (accepted bool, fallsUnder []string) {
	if r == nil {
		return true, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	mayFall := !r.saidSince.IsZero() && now.Sub(r.saidSince) > quiet
	if r.inside < brittleSlots || !mayFall && r.inside < brittleSlots+brittleQueue {
		r.inside++
		return true, nil
	}
	if now.Sub(r.second) >= time.Second {
		r.second, r.rejected = now, nil
	}
	r.rejected = append(r.rejected, request)
	if !mayFall || len(r.rejected) <= brittleRejections {
		return false, nil
	}
	fallsUnder, r.rejected = r.rejected, nil
	return false, fallsUnder
}

func (r *room) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inside = max(r.inside-1, 0) // a server that has started since has an empty room
}

// fall crashes the server with the given id, which has rejected too many requests.
func (p *serverSlot) fall(id string, rejected []string) {
	p.crashServer(id, func() { p.oracle.Fell(id, rejected, time.Now()) }, fallDowntime)
}

// occupy fills a place of the server's room until the answer has been sent.
func (p *serverSlot) occupy(a *standin.Answer) {
	if p.room != nil {
		a.Done = p.room.leave
	}
}
