// Package platform is the HTTP client of the platform's log service, its list
// of VMs and its weight store.
package platform
