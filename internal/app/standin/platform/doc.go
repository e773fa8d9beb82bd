// Package platform plays the platform in tests and in the demo: the log
// service, the list of VMs and the rate-limited weight store, with faults on
// request.
package platform
