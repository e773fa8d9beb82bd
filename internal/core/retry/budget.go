package retry

import "sync/atomic"

// Budget limits the retries that usesBudget selects to a fraction of all requests, so
// that retries cannot multiply an overload. It counts in thousandths of a retry.
type Budget struct {
	balance atomic.Int64
}

// NewBudget returns a budget with a small balance, so that a process that has
// just started can retry its first requests.
func NewBudget() *Budget {
	b := &Budget{}
	b.balance.Store(initialBalance)
	return b
}

const (
	requestDeposit = 80     // thousandths added by each request
	retryCost      = 1000   // thousandths taken by each retry
	initialBalance = 10000  // thousandths
	maxBalance     = 100000 // thousandths that can be saved up
)

// Deposit adds the fraction of a retry that one request earns.
func (b *Budget) Deposit() {
	if b.balance.Add(requestDeposit) > maxBalance {
		b.balance.Add(-requestDeposit)
	}
}

// Withdraw takes one retry from the budget and reports whether that was possible.
func (b *Budget) Withdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
