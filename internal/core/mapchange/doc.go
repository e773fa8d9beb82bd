// Package mapchange decides the next orders that put a new expert map in force
// on all ranks of a lock-step group at the same step, or that finish a change
// which another leader has left incomplete. The ranks of a group begin each
// step together; steps are numbered. The package keeps no state: every decision
// follows from what the ranks report, so a new leader makes the same decisions
// as its predecessor would have.
//
// A change has these phases. First every rank prepares the map. Then one rank
// holds a step that has not begun; the group cannot begin it until that rank,
// the holder, is released. All ranks are armed to switch at the held step, and
// the holder is released only once every rank reports that it is armed.
//
// Each order carries the group's epoch and the leader's fencing token. Versions
// and held steps are never used twice, so an order that is carried out late can
// only repeat a part of the change that it belongs to.
//
// This package belongs to one of two independent ways to change expert maps, that
// in which a gateway of the users' platform leads each change: package maplead is
// the leader, plans the maps with package expertplan and sends the orders to the
// ranks. In the other way, agents agree among themselves; the counterpart of this
// package there is expertmap.
package mapchange
