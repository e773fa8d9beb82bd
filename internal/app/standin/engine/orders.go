package engine

// Order tells the engine to load something or to change its role.
type Order struct {
	Fencing int64  `json:"fencing"`
	Kind    string `json:"kind"` // load_model, load_adapter, set_role
	Name    string `json:"name"`
	Version string `json:"version"`
}

// order records an order and returns true, or refuses it because of its old
// fencing token.
func (s *state) order(order Order) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.config.ChecksFencing && order.Fencing < s.highestFencing {
		return false
	}
	s.highestFencing = max(s.highestFencing, order.Fencing)
	s.truth.Orders = append(s.truth.Orders, order)
	return true
}
