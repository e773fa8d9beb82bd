// Package fleetsync keeps a gateway's view of the fleet up to date: the operators'
// settings, the evacuated failure domains, and the registry of targets.
// It reads them from the store or takes them from another gateway, either one that
// reads the store for this one or, while this one cannot read the store, any peer.
//
// The store may come back from an older copy, in a new era. Places in its topics are
// therefore platform.Positions, also between gateways, and what is known of settings,
// targets and evacuations does not go back with it.
//
// Only package internal/app/gateway uses it, with the store of package platform.
// The counterpart for the entry and agent programs is package settingssync.
package fleetsync
