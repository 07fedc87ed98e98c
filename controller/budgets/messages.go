package budgets

import (
	"context"
	"errors"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// sendTimeout bounds the delivery of a message while this router's link is not saturated.
// A router that does not accept the message in time is skipped for a while.
const sendTimeout = 150 * time.Millisecond

// errProcessReplaced means that the message was for an earlier process of the
// instance, which has certainly not received it.
var errProcessReplaced = errors.New("the instance runs a different process")

// errNoGrant means that a router received a request for tokens and has not
// answered it, or is closing.
var errNoGrant = errors.New("no answer to a request for tokens")

// send tries once to deliver a message. A message to this router itself is
// processed locally.
func (c *Controller) send(m budget.Message) {
	if m.To.ID == c.members.Self().ID {
		_ = c.Receive(m)
		return
	}
	err := c.deliver(m)
	if err == nil {
		c.members.ReportSuccess(m.To.ID)
		return
	}
	certain := errors.Is(err, peer.ErrNotSent)
	if errors.Is(err, errProcessReplaced) {
		certain = true // the instance is reachable but runs a different process
		c.members.ReportRestart(m.To.ID)
	} else {
		c.members.ReportFailure(m.To.ID, err)
	}
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Undelivered(now, m, certain) })
}

func (c *Controller) deliver(m budget.Message) error {
	addr, ok := c.members.Addr(m.To.ID)
	if !ok {
		return peer.ErrNotSent
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.peers.Timeout(sendTimeout))
	defer cancel()
	_, err := peer.Call[peer.BudgetMessage, peer.Empty](ctx, c.peers, addr, peer.MethodBudget, &peer.BudgetMessage{Message: m})
	if result.From(err).Code == result.WrongIncarnation {
		return errProcessReplaced
	}
	return err
}

// Receive processes a message from another router. It fails with WrongIncarnation
// if the message is for an earlier process of this instance.
func (c *Controller) Receive(m budget.Message) error {
	accepted := true
	c.withAgent(func(now time.Time, a *budget.Agent) []budget.Effect {
		accepted = a.Accepts(m)
		return a.Receive(now, m)
	})
	if !accepted {
		return result.New(result.WrongIncarnation, "meant for %s", m.To.Incarnation)
	}
	return nil
}
