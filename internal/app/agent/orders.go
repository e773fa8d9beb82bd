package agent

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"quetzalbend/internal/adapter/engine"
	"quetzalbend/internal/core/orders"
)

const orderInterval = 200 * time.Millisecond

// followOrders gives the engine the orders that the settings ask for, until
// ctx ends. No other goroutine or process gives it orders.
func (a *Agent) followOrders(ctx context.Context) {
	sequencer := orders.NewSequencer(time.Now(), milliseconds(a.config.OrderLifeMS))
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		for a.giveOrder(ctx, sequencer) {
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// giveOrder gives the next order and reports whether it was carried out.
func (a *Agent) giveOrder(ctx context.Context, sequencer *orders.Sequencer) bool {
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
