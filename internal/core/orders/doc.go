// Package orders decides which orders the engine of a target gets, and when.
//
// The fencing token of an order is the offset of the settings that ask for the
// order; it never decreases. Engines that ignore fencing tokens are protected by
// their agent, which is the only sender of orders to them: after its start, and
// after an order whose outcome is unknown, it waits until no earlier order can
// still arrive. So an order that arrives late is always followed by a newer one.
package orders
