// Package orders decides which orders a target's engine gets, and when.
//
// The fencing number of an order is the offset of the settings that ask for
// it, which never falls. Engines that ignore fencing numbers are protected by
// their agent, the only one to give them orders: after a start, and after an
// order whose fate is unknown, it waits until no earlier order can arrive any
// more. An order that arrives late is so always followed by a newer one.
package orders
