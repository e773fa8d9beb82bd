// Package port declares the interfaces to the services of the platform: its log
// and its list of VMs. Adapters under internal/adapter implement them; the
// decisions under internal/core use none of them.
package port
