// Package mapgroup runs the expert map protocol for one rank of a lock-step
// group. It answers the other ranks' agents. On the lowest rank that answers,
// it also completes or cancels unfinished changes, plans how experts are
// balanced and changes the expert map.
package mapgroup
