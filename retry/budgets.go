package retry

import "sync"

// Budgets holds a budget for each service. It is safe for concurrent use.
type Budgets struct {
	ratio float64
	burst func() float64

	mu        sync.Mutex
	byService map[string]*Budget
}

// NewBudgets returns budgets that earn ratio retries a request and save up to
// burst of them; burst is asked when a service is first seen.
func NewBudgets(ratio float64, burst func() float64) *Budgets {
	return &Budgets{ratio: ratio, burst: burst, byService: map[string]*Budget{}}
}

func (b *Budgets) of(service string) *Budget {
	one, ok := b.byService[service]
	if !ok {
		one = NewBudget(b.ratio, b.burst())
		b.byService[service] = one
	}
	return one
}

// Request earns the share of one request for the service.
func (b *Budgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service).Request()
}

// Left tells whether a retry at the service may be made.
func (b *Budgets) Left(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Left()
}

// Spend takes one retry at the service, or tells that its budget is spent.
func (b *Budgets) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service).Spend()
}
