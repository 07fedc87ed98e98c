package budgets

import (
	"context"
	"errors"
	"time"

	"github.com/gaplink/gaplink/budget"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/result"
)

// sendTimeout bounds a message to another router while this router's link is not full: one that
// does not take it by then is skipped for a while.
const sendTimeout = 150 * time.Millisecond

// errOtherProcess means that the message was for an earlier process of the
// instance, which has certainly not taken it.
var errOtherProcess = errors.New("another process runs at the instance")

// errNoGrant means that a router took a question for tokens and has not
// answered it, or is closing.
var errNoGrant = errors.New("no answer to a question for tokens")

// send delivers a message once. A message to this router itself stays here.
func (c *Controller) send(m budget.Message) {
	if m.To.ID == c.members.Self().ID {
		_ = c.Receive(m)
		return
	}
	err := c.deliver(m)
	if err == nil {
		c.members.Reached(m.To.ID)
		return
	}
	certain := errors.Is(err, peer.ErrNotSent)
	if errors.Is(err, errOtherProcess) {
		certain = true // the instance is well; only its process is another
		c.members.Restarted(m.To.ID)
	} else {
		c.members.Failed(m.To.ID, err)
	}
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect { return a.Undelivered(now, m, certain) })
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
		return errOtherProcess
	}
	return err
}

// Receive takes a message from another router. It fails with WrongIncarnation
// when the message is for an earlier process of this instance.
func (c *Controller) Receive(m budget.Message) error {
	accepted := true
	c.with(func(now time.Time, a *budget.Agent) []budget.Effect {
		accepted = a.Accepts(m)
		return a.Receive(now, m)
	})
	if !accepted {
		return result.New(result.WrongIncarnation, "meant for %s", m.To.Incarnation)
	}
	return nil
}
