// Package settingssync keeps the settings of one node up to date. A Node, on
// an entry VM, follows the platform's log, writes to it, writes checkpoints and
// exchanges settings with its peers, the other entries. Its Feeder sends each
// agent the subtrees of settings that it needs. A Receiver, in an agent on a
// target VM, receives them.
//
// The programs quetzalbend-entry and quetzalbend-agent use it. The counterpart for
// quetzalbend-gateway, on the users' platform, is package fleetsync.
package settingssync
