package agent

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/core/orders"
)

// orderInterval is how often the settings are checked for orders that are due.
const orderInterval = 200 * time.Millisecond

// followOrders sends the engine the orders that the settings call for, until
// ctx ends. No other goroutine or process sends it orders.
func (a *Agent) followOrders(ctx context.Context) {
	sequencer := orders.NewSequencer(time.Now(), milliseconds(a.config.OrderLifeMS))
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		for a.sendOrder(ctx, sequencer) {
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// sendOrder sends the next order and reports whether it was carried out.
func (a *Agent) sendOrder(ctx context.Context, sequencer *orders.Sequencer) bool {
	view := a.catalog()
	if view == nil {
		return false
	}
	target, known := view.Targets[a.config.Name]
	if !known {
		return false
	}
	sequencer.SetChecksFencing(target.ChecksFencing)
	sequencer.SetIncarnation(a.gate.incarnation())
	order, ok := sequencer.Next(time.Now(), orders.Wanted(view, target))
	if !ok {
		return false
	}
	err := a.engine.Order(ctx, engine.Order{
		Fencing: view.Offset, Kind: string(order.Kind), Name: order.Name, Version: order.Version,
	})
	switch {
	case err == nil:
		sequencer.MarkDone(order)
		a.registry.Counter("orders_given_total").Inc(1)
		return true
	case errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrFenced):
	default:
		sequencer.MarkUnknown(time.Now())
	}
	a.registry.Counter("orders_failed_total").Inc(1)
	log.WithError(err).WithField("target", a.config.Name).Debug("order failed")
	return false
}
