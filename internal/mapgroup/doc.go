// Package mapgroup runs the expert map protocol for one rank of a lock-step
// group. It answers the other ranks' agents. On the lowest rank that answers,
// it also completes or cancels unfinished changes, plans how experts are
// balanced and changes the expert map.
//
// Package internal/app/agent uses it for a target that is a rank of a group. It
// plans with package balance and changes maps by the protocol of package
// expertmap. The counterpart for changes that a gateway leads is package maplead.
package mapgroup
