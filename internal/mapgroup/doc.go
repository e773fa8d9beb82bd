// Package mapgroup runs the expert map protocol for one rank of a lock-step
// group: it answers the other ranks' agents, and where it is the lowest rank
// that answers, it mends what is left of earlier changes, plans the balance of
// experts and carries changes out.
package mapgroup
