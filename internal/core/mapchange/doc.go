// Package mapchange decides the next orders that bring a new expert map into
// force on all ranks of a lock-step group at the same pass, or that end a change
// which another leader has left behind. It keeps no state: every decision follows
// from what the ranks report, so a leader that takes over decides as the one
// before it would have.
//
// A change goes through these steps. Every rank prepares the map. One rank then
// holds a pass that has not begun; the group cannot begin it until that rank is
// released. All ranks are armed to switch at that pass, and the holder is
// released only once every rank reports that it is armed.
//
// Each order carries the group's epoch and the leader's fencing token. An order
// that is carried out late can so only repeat a step of the change that it
// belongs to: versions and held passes are never used twice.
package mapchange
