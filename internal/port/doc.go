// Package port declares the interfaces to the services of the platform: its log
// and its list of VMs. Adapters under internal/adapter implement them; the
// packages under internal/core do not depend on them.
package port
