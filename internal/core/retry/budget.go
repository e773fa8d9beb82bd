package retry

import "sync/atomic"

// Budget bounds the retries of refused requests to a part of all requests, so
// that retries cannot multiply an overload. It counts in thousandths.
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
	depositPerRequest = 80     // thousandths of a retry earned by each request
	costOfRetry       = 1000   // thousandths
	initialBalance    = 10000  // thousandths
	balanceLimit      = 100000 // thousandths that can be saved up
)

// Deposit counts one request.
func (b *Budget) Deposit() {
	if b.balance.Add(depositPerRequest) > balanceLimit {
		b.balance.Add(-depositPerRequest)
	}
}

// Withdraw takes one retry out of the budget, or reports that none is left.
func (b *Budget) Withdraw() bool {
	for {
		balance := b.balance.Load()
		if balance < costOfRetry {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-costOfRetry) {
			return true
		}
	}
}
