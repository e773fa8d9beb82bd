// Package expertmap changes the expert map of a lock-step group so that all
// ranks use the same map in every step.
//
// The agents of the ranks are acceptors. Each change is one instance of a
// consensus protocol in which all ranks form the write quorum and any single
// rank is a read quorum. Writing to all ranks costs no availability, because a
// lock-step group advances only with all its ranks. Any agent may coordinate,
// with a ballot of its own:
//
//  1. prepare: each rank promises the ballot and reports its engine's state;
//  2. stage: each rank loads the weights of the new map;
//  3. hold: each rank promises not to run step S without a decision;
//  4. decide: activate the map from step S, or cancel.
//
// A rank follows a decision when its engine carries it out. A decision is final
// once a single rank has followed it. A rank that ran step S on its old map
// before it received the hold has thereby followed a cancel. A later coordinator
// learns of either from the promises, since it needs those of all ranks.
//
// A restarted agent has lost its promises. Each message therefore names the
// incarnation of the agent that it is for, and a coordinator decides only after
// a second round (hold or confirm), which shows that all promises were in
// effect at the same moment.
//
// A replaced engine starts a new epoch: all ranks stop, then all start again
// from one map. Safety depends neither on clocks nor on a leader.
//
// This package belongs to one of two independent ways to change expert maps, that
// in which the agents of package internal/app/agent agree among themselves:
// package balance plans the maps and package mapgroup runs the protocol for one
// rank. In the other way, a gateway leads each change and sends orders to the
// ranks; the counterpart of this package there is mapchange.
package expertmap
