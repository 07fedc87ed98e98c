package table

import (
	"github.com/gaplink/gaplink/result"
)

// maxWeight limits a weight, so that sums cannot overflow.
const maxWeight = 1_000_000

// Check validates a change before it is proposed. It returns RowConflict if an expected
// revision is outdated, and BadRow if the change is invalid.
func Check(s *State, c Change) error {
	if len(c.Edits) == 0 {
		return result.New(result.BadRow, "the change is empty")
	}
	for _, e := range c.Edits {
		if err := checkExpect(s, e); err != nil {
			return err
		}
	}
	proposed := c
	proposed.Status = Committed
	proposed.Revision = s.Revision + 1
	next, err := s.Apply(proposed)
	if err != nil {
		return err
	}
	return next.validate(c)
}

func checkExpect(s *State, e Edit) error {
	if _, known := s.revisions[e.Kind]; !known {
		return result.New(result.BadRow, "unknown kind %q", e.Kind)
	}
	current := s.ObjectRevision(e.Kind, e.Name)
	if current == e.Expect {
		return nil
	}
	object, _ := s.Object(e.Kind, e.Name)
	return result.New(result.RowConflict, "%s %s is at revision %d, not %d; it now reads %s", e.Kind, e.Name, current, e.Expect, object.Value)
}

// validate checks the objects that the change set against the new state.
func (s *State) validate(c Change) error {
	for _, e := range c.Edits {
		if s.ObjectRevision(e.Kind, e.Name) == 0 {
			continue
		}
		if err := s.validateObject(e); err != nil {
			return err
		}
	}
	return s.validateWeights()
}

func (s *State) validateObject(e Edit) error {
	switch e.Kind {
	case KindAccount:
		return validateAccount(e.Name, s.Accounts[e.Name])
	case KindPool:
		return validatePool(e.Name, s.Pools[e.Name])
	default:
		return s.validateRow(e.Name, s.Rows[e.Name])
	}
}

func validateAccount(name string, a Account) error {
	switch {
	case a.ID != name || name == "" || name == Any:
		return result.New(result.BadRow, "account %q: id must equal its name and not be empty or *", name)
	case a.Budget != "" && !a.Owns(a.Budget):
		return result.New(result.BadRow, "account %s: budget %s is not among its budgets", name, a.Budget)
	}
	for _, h := range a.KeyHashes {
		if len(h) != 64 {
			return result.New(result.BadRow, "account %s: a key hash must have 64 hex digits", name)
		}
	}
	return nil
}

func validatePool(name string, p Pool) error {
	switch {
	case p.Name != name || name == "":
		return result.New(result.BadRow, "pool %q: name must equal its key", name)
	case p.Kind != Model && p.Kind != Service:
		return result.New(result.BadRow, "pool %s: kind must be model or service", name)
	case p.Target == "" || p.Site == "":
		return result.New(result.BadRow, "pool %s: target and site must be set", name)
	}
	seen := map[string]bool{}
	for _, srv := range p.Servers {
		if srv.ID == "" || srv.Addr == "" || seen[srv.ID] {
			return result.New(result.BadRow, "pool %s: server ids must be set and unique, and have an addr", name)
		}
		seen[srv.ID] = true
	}
	return nil
}

func (s *State) validateRow(name string, r Row) error {
	switch {
	case r.Name() != name:
		return result.New(result.BadRow, "row %s: account, target and site must equal its name", name)
	case r.Weight < 0 || r.Weight > maxWeight:
		return result.New(result.BadRow, "row %s: weight %d is not in 0..%d", name, r.Weight, maxWeight)
	case r.MaxInFlight < 0 || r.RatePerSecond < 0 || r.TokensPerSecond < 0:
		return result.New(result.BadRow, "row %s: a limit must not be below zero", name)
	case r.Account != Any && s.ObjectRevision(KindAccount, r.Account) == 0:
		return result.New(result.BadRow, "row %s: unknown account %s", name, r.Account)
	case !s.hasPoolAt(r.Target, r.Site):
		return result.New(result.BadRow, "row %s: no pool serves %s at site %s", name, r.Target, r.Site)
	}
	return nil
}

func (s *State) hasPoolAt(target, site string) bool {
	for _, p := range s.Pools {
		if p.Target == target && p.Site == site {
			return true
		}
	}
	return false
}

// validateWeights rejects a table in which an account's weights for a target sum to
// zero.
func (s *State) validateWeights() error {
	sums := map[string]int{}
	for _, r := range s.Rows {
		rows := s.RowsFor(r.Account, r.Target)
		sum := 0
		for _, in := range rows {
			sum += in.Weight
		}
		sums[r.Account+"/"+r.Target] = sum
	}
	for name, sum := range sums {
		if sum == 0 {
			return result.New(result.BadRow, "the weights of %s sum to zero", name)
		}
	}
	return nil
}
