package retry

import (
	"time"

	"github.com/gaplink/gaplink/placement"
)

const (
	// arrivalLimit is how long after it ended without an answer an attempt may arrive at its server: servers freeze, and paths hold bytes, for
	// up to 30 s. A server that has lost its power never reads, so an attempt does not occupy the budget for longer.
	arrivalLimit = 35 * time.Second
	// settleTime is how long after a server has answered what was sent later an attempt may still arrive there.
	settleTime = 250 * time.Millisecond
)

// Path is how attempts reach a server.
type Path struct {
	Server placement.Incarnation
	// Router is the router through which the server is reached; empty if directly.
	Router string
}

// unanswered is an attempt that ended without a byte of an answer and may still arrive.
type unanswered struct {
	request *Request
	path    Path
	sentAt  time.Time
	// settledAt is when it can no longer arrive.
	settledAt time.Time
}

// Request holds the retries of one request and those of its attempts that may still arrive at a server. It is safe for
// concurrent use.
type Request struct {
	budgets *Budgets
	service string
	// paid is the number of retries taken from the budget, and held how many of them it counts as pending.
	paid, held int
	// sent is the number of attempts that a server may have received or receive, and open that of those among them that may
	// still arrive.
	sent, open int
	// awaiting is set while the attempt under way has no answer, and abandoning from when it is given up until it ends.
	awaiting, abandoning, ended bool
}

// Begin credits the service's budget for one request.
func (b *Budgets) Begin(now time.Time, service string) *Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	one, l := b.current(now, service)
	one.credit(l.Ratio * usedShare)
	return &Request{budgets: b, service: service}
}

// Pay takes retries from the service's budget until the given number is paid for, and reports whether it is.
func (r *Request) Pay(now time.Time, n int) bool {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	one, _ := r.budgets.current(now, r.service)
	return r.pay(one, n)
}

// pay is Pay with the lock held.
func (r *Request) pay(one *budget, n int) bool {
	for r.paid < n {
		if !one.spend() {
			return false
		}
		r.paid++
		r.held++
	}
	return true
}

// MayPay reports whether Pay would succeed for n retries, if that is at most one more.
func (r *Request) MayPay(now time.Time, n int) bool {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	one, _ := r.budgets.current(now, r.service)
	return r.paid >= n || one.left()
}

// Awaits reports whether the attempt under way has no answer.
func (r *Request) Awaits() bool {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	return r.awaiting
}

// MayAbandon reports whether Abandon would succeed for n retries, if that is at most one more.
func (r *Request) MayAbandon(now time.Time, n int) bool {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	one, _ := r.budgets.current(now, r.service)
	return (r.paid >= n || one.left()) && r.mayLeave(one)
}

// mayLeave reports whether the attempt under way has an answer, or may be left at its server without one.
func (r *Request) mayLeave(one *budget) bool { return !r.awaiting || one.abandoned < one.maxAbandoned }

// Abandon pays for n retries so that the attempt under way can be given up. It returns false if the budget is spent, or if
// the attempt has no answer and too many abandoned ones may still arrive.
func (r *Request) Abandon(now time.Time, n int) bool {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	one, _ := r.budgets.current(now, r.service)
	if !r.mayLeave(one) || !r.pay(one, n) {
		return false
	}
	if r.awaiting {
		one.abandoned++
		r.abandoning = true
	}
	return true
}

// Sent records that an attempt is about to be sent.
func (r *Request) Sent() {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.sent++
	r.open++
	r.awaiting = true
}

// NotSent records that the attempt under way sent nothing.
func (r *Request) NotSent() {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.sent--
	r.close()
}

// Answered records that a byte of an answer to the attempt under way came from the server on a path.
func (r *Request) Answered(now time.Time, path Path, sentAt time.Time) {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.close()
	r.budgets.answered(now, path, sentAt)
}

// close records that the attempt under way can no longer arrive.
func (r *Request) close() {
	if r.abandoning {
		r.abandoning = false
		r.budgets.of(r.service).abandoned--
	}
	r.awaiting = false
	r.open--
	r.release()
}

// Unanswered records that the attempt under way ended without a byte of an answer.
func (r *Request) Unanswered(now time.Time, path Path, sentAt time.Time) {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	if !r.abandoning {
		r.budgets.of(r.service).abandoned++
	}
	r.awaiting, r.abandoning = false, false
	r.budgets.unanswered = append(r.budgets.unanswered, unanswered{request: r, path: path, sentAt: sentAt, settledAt: now.Add(arrivalLimit)})
}

// End records that no further attempt follows.
func (r *Request) End() {
	r.budgets.mu.Lock()
	defer r.budgets.mu.Unlock()
	r.ended = true
	r.release()
	if r.held == 0 && r.open > 0 {
		r.budgets.forget(func(u *unanswered) bool { return u.request == r })
	}
}

// release gives back the part of the budget that the request no longer needs: of n attempts that may still arrive, all
// but the first are retries, or all if another one has arrived.
func (r *Request) release() {
	needed := r.open
	if !r.ended {
		needed += r.paid - max(r.sent-1, 0)
	}
	for ; r.held > min(needed, r.paid); r.held-- {
		r.budgets.of(r.service).pending--
	}
}

// Answered records that a server answered a request on a path that was sent at a given time: what was sent there before has
// arrived.
func (b *Budgets) Answered(now time.Time, path Path, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.answered(now, path, sentAt)
}

// answered is Answered with the lock held.
func (b *Budgets) answered(now time.Time, path Path, sentAt time.Time) {
	for i := range b.unanswered {
		u := &b.unanswered[i]
		if u.path == path && u.sentAt.Before(sentAt) && now.Add(settleTime).Before(u.settledAt) {
			u.settledAt = now.Add(settleTime)
		}
	}
}

// Gone records that a server's process has ended: what has not arrived there never will.
func (b *Budgets) Gone(server placement.Incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(func(u *unanswered) bool { return u.path.Server == server })
}

// settle forgets the attempts that can no longer arrive. The caller holds b.mu.
func (b *Budgets) settle(now time.Time) {
	b.forget(func(u *unanswered) bool { return !u.settledAt.After(now) })
}

// forget removes unanswered attempts, which can no longer arrive. The caller holds b.mu.
func (b *Budgets) forget(matches func(*unanswered) bool) {
	kept := b.unanswered[:0]
	for i := range b.unanswered {
		u := b.unanswered[i]
		if !matches(&u) {
			kept = append(kept, u)
			continue
		}
		u.request.open--
		u.request.release()
		b.of(u.request.service).abandoned--
	}
	clear(b.unanswered[len(kept):])
	b.unanswered = kept
}

// Young reports whether attempts of earlier processes of the instance may still arrive at servers that have not answered
// this one.
func (b *Budgets) Young(now time.Time) bool {
	return b.limits().Window > 0 && now.Sub(b.started) < arrivalLimit
}
