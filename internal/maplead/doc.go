// Package maplead coordinates the changes of expert maps of all lock-step groups. At
// any time one gateway leads: the member to which the store assigns the first partition
// of a topic. Safety does not depend on a single leader: it comes from the epoch
// and the fencing token that each order carries (see package mapchange).
//
// Package internal/app/gateway runs the leader. It plans with packages demand and
// expertplan. The gateway reads the ranks through package ranklink and sends them
// most orders through it; hold orders and their releases go directly to the
// engines. The counterpart for changes on which agents agree among themselves is
// package mapgroup.
package maplead
