package budget_test

import (
	"testing"
	"time"

	"github.com/gaplink/gaplink/budget"
)

// sentTwice has an agent send 9 tokens and then a message that repeats the total.
func sentTwice(t *testing.T) (a *budget.Agent, first, second budget.Message) {
	a, self := soleOwner()
	now := time.Unix(1000, 0)
	a.Receive(now, budget.Message{Kind: budget.Back, Budget: testBudget, From: budget.Peer{ID: "r2", Incarnation: "r2/1"}, To: self, Total: 9, Delta: 9})
	recall := budget.Message{Kind: budget.Recall, Budget: testBudget, From: budget.Peer{ID: "r1", Incarnation: "r1/1"}, To: self}
	first = a.Receive(now, recall)[0].(budget.Send).Message
	second = a.Receive(now, recall)[0].(budget.Send).Message
	if first.Total != 9 || first.Delta != 9 || second.Total != 9 || second.Delta != 0 {
		t.Fatalf("want two messages with a total of 9, got %+v and %+v", first, second)
	}
	return a, first, second
}

// TestTokensOfALaterMessageAreNotTakenBack guards against tokens that exist twice: a message is
// reported as certainly undelivered after a later one, which repeats its total, was delivered.
func TestTokensOfALaterMessageAreNotTakenBack(t *testing.T) {
	a, first, _ := sentTwice(t)
	a.Undelivered(time.Unix(1000, 0), first, true)
	if held := a.Holding(testBudget).Balance; held != 0 {
		t.Fatalf("%d tokens exist twice", held)
	}
}

// TestTokensOfUndeliveredMessagesAreTakenBack guards against tokens that are lost although none
// of the messages that carried them was delivered.
func TestTokensOfUndeliveredMessagesAreTakenBack(t *testing.T) {
	a, first, second := sentTwice(t)
	a.Undelivered(time.Unix(1000, 0), first, true)
	a.Undelivered(time.Unix(1000, 0), second, true)
	if held := a.Holding(testBudget).Balance; held != 9 {
		t.Fatalf("%d of 9 tokens are back", held)
	}
}

// TestUnansweredReturnLeavesASmallFleetIdle guards against an agent that never becomes idle, and so wakes
// up for nothing, because it keeps a lost return for a repetition that only large fleets make.
func TestUnansweredReturnLeavesASmallFleetIdle(t *testing.T) {
	a, first, _ := sentTwice(t)
	now := time.Unix(1000, 0)
	a.Undelivered(now, first, false)
	a.Tick(now.Add(time.Second))
	if !a.IsIdle() {
		t.Fatal("the agent is not idle")
	}
}
