// Package limiter enforces the request rate that a backend server accepts from all routers
// together: one that is cold, or one that names a limit in its answers.
//
// A rate has one owner among the routers, or several with equal shares of a high rate: the
// first routers in the server's rendezvous order. A router asks an owner for a permit before
// it sends a request. A Ledger is an owner's record of the permits that it granted, a Table
// holds the limits that servers name, and a DenialCache the denials that a router received.
//
// The package is pure: callers pass the time.
package limiter

import (
	"math"
	"time"
)

const (
	// PermitLife is how long a permit may be used, counted from when it was requested.
	PermitLife = 100 * time.Millisecond
	// deliveryMargin is added to each window for the varying time from the grant of a permit
	// to the arrival of its request at the server.
	deliveryMargin = 40 * time.Millisecond
	// fallbackShare is the part of a rate that a router grants in place of its only owner,
	// which may still grant permits to routers that reach it.
	fallbackShare = 0.5
	// minUtilization is the part of a rate that several owners, each with a whole number of
	// requests a second, must be able to use together.
	minUtilization = 0.85
	// minShare is the minimum share of one of several owners, in requests a second. With
	// smaller shares, one is more often used up while another is not.
	minShare = 3
	// minRouters is the minimum fleet size assumed: a router that knows fewer may not have
	// discovered the others yet.
	minRouters = 4

	// maxWindow is the longest window in which whole requests are counted.
	maxWindow = 4 * time.Second
	// minWindowRequests is the number of requests from which a shorter window uses the rate
	// well, although only whole requests count.
	minWindowRequests = 4
	// minRate is granted to a server that names a lower limit, or 0, in requests a second:
	// only its responses show that the limit has ended.
	minRate = 0.1
	// maxRate bounds the permits that a ledger records, in requests a second.
	maxRate = 1000
)

// Rate is a number of requests a second from all routers together.
type Rate float64

// Window is one constraint of a rate: at most Requests requests within any time of Length.
type Window struct {
	Requests int
	Length   time.Duration
}

// Windows returns the windows of a rate, the longest last. In any 4 s they admit at most what
// the rate allows in whole requests, or one more if the rate is below one request a second,
// and in any second at most one request more than the rate.
func (r Rate) Windows() []Window {
	rate := min(max(float64(r), minRate), maxRate)
	if rate < 1 {
		return []Window{{Requests: 1, Length: time.Duration(float64(time.Second) / rate)}}
	}
	length := time.Second
	for length < maxWindow && rate*length.Seconds() < minWindowRequests {
		length *= 2
	}
	windows := []Window{{Requests: int(math.Floor(rate * length.Seconds())), Length: length}}
	if length > time.Second {
		windows = append([]Window{{Requests: int(math.Ceil(rate)), Length: time.Second}}, windows...)
	}
	return windows
}

// MaxOwners bounds the owners of a rate: with more owners, a request is more often denied by
// one although another could grant it.
const MaxOwners = 4

// Split is the division of a rate among its owners, with an equal share each.
type Split struct {
	Owners int
	Share  Rate
}

// Split returns the shares of a rate in a fleet of a given size. Several owners have a whole
// number of requests a second each, the fewest that use enough of the rate. This way few
// permits are lost if one owner fails, and where routers know different parts of the fleet, the
// sum of what they grant is near the rate. A low rate has one owner.
func (r Rate) Split(routers int) Split {
	routers = min(max(routers, minRouters), MaxOwners)
	for each := Rate(minShare); 2*each <= r; each++ {
		owners := min(routers, int(r/each))
		if Rate(owners)*each >= minUtilization*r {
			return Split{Owners: owners, Share: each}
		}
	}
	return Split{Owners: 1, Share: r}
}

// Fallback returns the rate that a router grants in place of an only owner.
func (r Rate) Fallback() Rate { return r * fallbackShare }

// retention returns how many permits of a rate have to be recorded, and for how long.
func (r Rate) retention() (permits int, length time.Duration) {
	windows := r.Windows()
	longest := windows[len(windows)-1]
	return longest.Requests, longest.Length + deliveryMargin
}
