package registry

import (
	"context"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/slots"
	"github.com/gaplink/gaplink/placement"
)

// Lender lends slots of brittle servers.
type Lender interface {
	// Part returns this router's part of a server's slots, and the number of routers.
	Part(slots int) (part, routers int)
	// Borrow gets a slot for a request; without a loan it returns why.
	Borrow(ctx context.Context, server placement.Incarnation, need placement.SlotLoan) (*slots.Loan, slots.Denial)
}

// SetLender sets the component that lends slots of brittle servers. Call it before the first registration is
// applied; without it all slots are this router's.
func (c *Controller) SetLender(l Lender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lender = l
	c.servers.SetParts(l.Part)
}

// Borrow gets a slot for a request that has just been picked for a brittle server, if it needs one; the loan is
// nil otherwise. It returns false if the request must go to another server.
func (c *Controller) Borrow(ctx context.Context, s placement.Server) (*slots.Loan, bool) {
	in := s.Incarnation()
	c.mu.Lock()
	need, needed := c.servers.NeedsLoan(clock.Now(), in)
	c.mu.Unlock()
	if !needed || c.lender == nil {
		return nil, true
	}
	loan, denial := c.lender.Borrow(ctx, in, need)
	c.mu.Lock()
	defer c.mu.Unlock()
	if loan == nil {
		c.servers.LoanDenied(in, denial.Until, denial.Said)
		return nil, false
	}
	c.servers.Lent(in)
	return loan, true
}

// ReturnSlot returns the slot of a request that has ended; rejected reports that the server rejected it for
// want of room. A nil loan is ignored.
func (c *Controller) ReturnSlot(s placement.Server, loan *slots.Loan, rejected bool) {
	if loan == nil {
		return
	}
	c.mu.Lock()
	c.servers.Returned(s.Incarnation())
	c.mu.Unlock()
	loan.Return(rejected)
}
