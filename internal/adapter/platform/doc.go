// Package platform is the HTTP client of the platform's log service, its list
// of VMs and its weight store.
//
// The programs quetzalbend-entry and quetzalbend-agent use it. The package
// platform at the root of the repository is a different one: it implements the
// formats and protocols of the users' platform, for quetzalbend-gateway and
// quetzalbend-rank.
package platform
