package verdicts

import (
	"encoding/json"

	"github.com/gaplink/gaplink/poison"
	"github.com/gaplink/gaplink/result"
)

// Operator commands.
const (
	CommandList = "verdict.list"
	CommandLift = "verdict.lift"
)

// Listed is a verdict as shown to operators.
type Listed struct {
	Fingerprint string `json:"fingerprint"`
	// Part is the ID of the part of prompts that the verdict concerns, shortened; empty for a whole request.
	// AllAccounts is set if it concerns the requests of all accounts.
	Part        string `json:"part,omitempty"`
	AllAccounts bool   `json:"all_accounts,omitempty"`
	// Number counts the verdicts on the request.
	Number  int    `json:"number"`
	Service string `json:"service"`
	// Servers are the ids of those that crashed while the request ran.
	Servers []string `json:"servers"`
	// HeldForSeconds is the remaining time for which the request is quarantined.
	HeldForSeconds float64 `json:"held_for_seconds"`
}

// LiftArgs are the arguments of CommandLift.
type LiftArgs struct {
	Fingerprint string `json:"fingerprint"`
}

// Do executes an operator command and returns its result.
func (c *Controller) Do(operator, command string, args []byte) (any, error) {
	switch command {
	case CommandList:
		return c.listed(), nil
	case CommandLift:
		var a LiftArgs
		if err := json.Unmarshal(args, &a); err != nil {
			return nil, result.New(result.BadRow, "arguments: %v", err)
		}
		request, err := poison.Parse(a.Fingerprint)
		if err != nil {
			return nil, result.New(result.BadRow, "%v", err)
		}
		return a, c.Lift(request, operator)
	default:
		return nil, result.New(result.UnknownObject, "unknown command %q", command)
	}
}

func (c *Controller) listed() []Listed {
	list := []Listed{}
	for _, v := range c.List() {
		list = append(list, Listed{
			Fingerprint: v.Request.String(), Part: v.Part, AllAccounts: v.Scope == poison.ScopeSharedPart, Number: v.Number, Service: v.Service, Servers: v.Servers, HeldForSeconds: v.Remaining.Seconds(),
		})
	}
	return list
}
