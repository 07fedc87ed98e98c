package retryafter

import (
	"container/list"
	"time"
)

const (
	// maxRefusals and refusalTTL bound the refusals that are remembered.
	maxRefusals = 1024
	refusalTTL  = 30 * time.Second
	// manyRefusals is the number of remembered refusals of an account from which its early returns
	// get the remaining time.
	manyRefusals = 8
	// earlyTolerance is how much earlier than its Retry-After a caller may return: its remaining time, of which it
	// honours a third, is shorter than it seems here by the time that the request took to arrive.
	earlyTolerance = 50 * time.Millisecond
	// minRequests is the number of requests of an account from which its share of early returns is
	// judged, and maxRequests the number at which both counts are halved, so that recent ones decide.
	minRequests = 16
	maxRequests = 512
)

// refusedRequest identifies a request of an account by its content.
type refusedRequest struct {
	account string
	request uint64
}

// remembered is a refusal that was not followed by a return yet.
type remembered struct {
	refusedRequest
	at, due time.Time
}

// accountReturns counts the requests of an account while refusals of it are remembered.
type accountReturns struct {
	refusals, requests, early int
}

// Refusals remembers refused requests by account, and finds those that come back too early. It is
// bounded: the oldest refusal is forgotten first. It is not safe for concurrent use.
type Refusals struct {
	order     *list.List // of *remembered, oldest first
	byRequest map[refusedRequest]*list.Element
	accounts  map[string]*accountReturns
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals {
	return &Refusals{order: list.New(), byRequest: map[refusedRequest]*list.Element{}, accounts: map[string]*accountReturns{}}
}

// Refused remembers a refusal whose caller was asked to come back after the given time and has the
// given time left; 0: unknown.
func (r *Refusals) Refused(now time.Time, account string, request uint64, after, left time.Duration) {
	r.forgetOld(now)
	key := refusedRequest{account, request}
	if e := r.byRequest[key]; e != nil {
		r.forget(e)
	}
	if r.order.Len() == maxRefusals {
		r.forget(r.order.Front())
	}
	r.byRequest[key] = r.order.PushBack(&remembered{refusedRequest: key, at: now, due: now.Add(honoured(after, left))})
	a := r.accounts[account]
	if a == nil {
		a = &accountReturns{}
		r.accounts[account] = a
	}
	a.refusals++
}

// Knows reports whether refusals of an account are remembered.
func (r *Refusals) Knows(account string) bool { return r.accounts[account] != nil }

// Return is what is known of a request that arrives.
type Return struct {
	// Remaining is the time until its caller should have come back, if it is an early return of an
	// account with many refusals; otherwise 0.
	Remaining time.Duration
	// Limited is set if more than half of the requests of the account are early returns.
	Limited bool
}

// Arrived counts a request of an account, and returns whether it comes back too early.
func (r *Refusals) Arrived(now time.Time, account string, request uint64) Return {
	r.forgetOld(now)
	a := r.accounts[account]
	if a == nil {
		return Return{}
	}
	a.requests++
	var found Return
	if e := r.byRequest[refusedRequest{account, request}]; e != nil {
		remaining := e.Value.(*remembered).due.Sub(now)
		early := remaining > earlyTolerance
		if early {
			a.early++
		}
		if early && a.refusals >= manyRefusals {
			found.Remaining = remaining
		}
		if !early {
			r.forget(e) // its account may be forgotten with it
		}
	}
	found.Limited = a.requests >= minRequests && 2*a.early > a.requests
	if a.requests >= maxRequests {
		a.requests, a.early = a.requests/2, a.early/2
	}
	return found
}

// Len returns the number of remembered refusals, and Accounts the number of their accounts.
func (r *Refusals) Len() int      { return r.order.Len() }
func (r *Refusals) Accounts() int { return len(r.accounts) }

// forgetOld forgets the refusals that are older than refusalTTL.
func (r *Refusals) forgetOld(now time.Time) {
	for e := r.order.Front(); e != nil && now.Sub(e.Value.(*remembered).at) >= refusalTTL; e = r.order.Front() {
		r.forget(e)
	}
}

func (r *Refusals) forget(e *list.Element) {
	gone := r.order.Remove(e).(*remembered)
	delete(r.byRequest, gone.refusedRequest)
	a := r.accounts[gone.account]
	if a.refusals--; a.refusals == 0 {
		delete(r.accounts, gone.account)
	}
}
