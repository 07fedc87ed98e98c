package retry

import "sync"

// Budgets holds a retry budget for each service. It is safe for concurrent use.
type Budgets struct {
	ratio float64
	burst func() float64

	mu        sync.Mutex
	byService map[string]*Budget
}

// NewBudgets returns budgets that each gain ratio retries per request, up to
// burst retries. burst is called once per service, at its first use.
func NewBudgets(ratio float64, burst func() float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, byService: map[string]*Budget{}}
}

func (b *Budgets) budgetOf(service string) *Budget {
	budget, ok := b.byService[service]
	if !ok {
		budget = NewBudget(b.ratio, b.burst())
		b.byService[service] = budget
	}
	return budget
}

// Request credits the service's budget for one request.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgetOf(service).Request()
}

// Left reports whether the service's budget allows a retry.
func (b *Budgets) Left(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Left()
}

// Spend takes one retry from the service's budget; false means that the budget is exhausted.
func (b *Budgets) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Spend()
}

// Status returns the state of the service's budget.
func (b *Budgets) Status(service string) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budgetOf(service).Status()
}
