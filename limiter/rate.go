// Package limiter enforces the request rate that a backend server takes from all routers
// together: one that is cold, or one that names a limit in its answers.
//
// A rate has one owner among the routers, or several with equal shares of a high rate: the
// first routers in the server's rendezvous order. A router asks an owner for a permit before
// it sends a request. A Ledger is an owner's record of the permits that it granted, a Table
// what a router knows of the limits that servers name, and a Gate what it knows of denials.
//
// The package is pure: callers pass the time.
package limiter

import (
	"math"
	"time"
)

const (
	// PermitLife is how long after it was asked for a permit may be used.
	PermitLife = 100 * time.Millisecond
	// margin is added to each window for the time from the grant of a permit to the arrival
	// of its request at the server, which varies.
	margin = 40 * time.Millisecond
	// fallbackShare is the part of a rate that a router grants in place of its only owner,
	// which may be granting too, to routers that still reach it.
	fallbackShare = 0.5
	// leastUse is the part of a rate that owners of whole requests a second must be able to
	// use together.
	leastUse = 0.85
	// leastShare is the least share of one of several owners, in requests a second. The
	// smaller the shares are, the more often one is used up while another is not.
	leastShare = 3
	// leastRouters is the least size of a fleet that is assumed: a router that knows fewer
	// may not have met the others yet.
	leastRouters = 4

	// longestWindow is the longest window in which whole requests are counted.
	longestWindow = 4 * time.Second
	// enoughRequests is the number of requests from which a shorter window uses the
	// rate well, although only whole requests count.
	enoughRequests = 4
	// leastRate is granted to a server that names a lower limit, or 0, in requests a
	// second: only its answers tell that the limit has ended.
	leastRate = 0.1
	// highestRate bounds the permits that a ledger remembers, in requests a second.
	highestRate = 1000
)

// Rate is a number of requests a second from all routers together.
type Rate float64

// Window says how a rate is enforced: so many requests may be sent within any time of a
// length.
type Window struct {
	Requests int
	Length   time.Duration
}

// Windows returns the windows of a rate, the longest last. In any 4 s they admit at most
// what the rate allows in whole requests, or one more where the rate is below one request
// a second, and in any second at most one request more than the rate.
func (r Rate) Windows() []Window {
	rate := min(max(float64(r), leastRate), highestRate)
	if rate < 1 {
		return []Window{{Requests: 1, Length: time.Duration(float64(time.Second) / rate)}}
	}
	length := time.Second
	for length < longestWindow && rate*length.Seconds() < enoughRequests {
		length *= 2
	}
	windows := []Window{{Requests: int(math.Floor(rate * length.Seconds())), Length: length}}
	if length > time.Second {
		windows = append([]Window{{Requests: int(math.Ceil(rate)), Length: time.Second}}, windows...)
	}
	return windows
}

// OwnersAtMost bounds the owners of a rate: a request is denied by one although another
// could grant it the more often, the more they are.
const OwnersAtMost = 4

// Split says how a rate is shared out: to so many owners, an equal share each.
type Split struct {
	Owners int
	Share  Rate
}

// Split returns the shares of a rate in a fleet of so many routers. Several owners have a
// whole number of requests a second each, the fewest that use enough of the rate. So few
// permits are lost with one owner, and where routers know different parts of the fleet, the
// sum of what they grant is near the rate. A low rate has one owner.
func (r Rate) Split(routers int) Split {
	routers = min(max(routers, leastRouters), OwnersAtMost)
	for each := Rate(leastShare); 2*each <= r; each++ {
		owners := min(routers, int(r/each))
		if Rate(owners)*each >= leastUse*r {
			return Split{Owners: owners, Share: each}
		}
	}
	return Split{Owners: 1, Share: r}
}

// Fallback returns the rate that a router grants in place of an only owner.
func (r Rate) Fallback() Rate { return r * fallbackShare }

// remembers returns how many permits of a rate have to be remembered, and for how long.
func (r Rate) remembers() (permits int, length time.Duration) {
	windows := r.Windows()
	longest := windows[len(windows)-1]
	return longest.Requests, longest.Length + margin
}
