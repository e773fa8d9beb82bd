// Package maplead coordinates the changes of expert maps of all lock-step groups. At
// any time one gateway leads: the member to which the store assigns the first partition
// of a topic. Safety does not depend on a single leader: it comes from the epoch
// and the fencing token that each order carries (see package mapchange).
package maplead
