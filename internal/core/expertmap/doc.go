// Package expertmap changes the expert map of a lock-step group so that in
// each step all ranks use one and the same map.
//
// The agents of the ranks are acceptors. A change is one instance of a
// consensus in which all ranks form the quorum to write and any one rank the
// quorum to read: a lock-step group advances only with all its ranks, so this
// costs no availability. Any agent may coordinate, with a ballot of its own:
//
//  1. prepare: each rank promises the ballot and tells its engine's state;
//  2. stage: each rank loads the weights of the new map;
//  3. hold: each rank promises not to run step S without a decision;
//  4. decide: activate the map from step S, or cancel.
//
// A decision binds once a single rank has followed it, and a rank that ran
// step S on its old map before it was asked has followed cancel. Whoever takes
// over learns of either from the promises, since it needs those of all ranks.
//
// A restarted agent has forgotten its promises. Messages therefore name the
// incarnation that they are for, and a coordinator decides only after a second
// round (hold or confirm), which shows that at one moment all promises stood
// together.
//
// A replaced engine starts a new epoch: all ranks stop, then all start again
// from one map. Safety depends on no clock and no leader.
package expertmap
