// Package settingssync keeps the settings of one node up to date. A Node, on
// an entry VM, follows the platform's log, writes to it, authors checkpoints
// and exchanges what it has with its peers. A Receiver, on a target VM, takes
// the subtrees that it needs from entries.
package settingssync
