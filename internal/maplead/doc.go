// Package maplead leads the changes of expert maps of all lock-step groups. One
// gateway at a time leads: the member that the store gives the first partition
// of a topic. Safety does not rest on that; it rests on the guards that each
// order carries (see package mapchange).
package maplead
