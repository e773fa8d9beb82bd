// Package platform is a stand-in for the platform in tests and in the demo. It
// serves the log, the list of VMs and the rate-limited weight store, and injects
// faults on request.
package platform
