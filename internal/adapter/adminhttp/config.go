package adminhttp

import (
	"cmp"
	"context"
	"time"

	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/routing"
	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/settingssync"
)

// Settings reads and writes settings; *settingssync.Node implements it.
type Settings interface {
	Snapshot() *settings.Snapshot // nil before there are any
	Put(ctx context.Context, request settingssync.WriteRequest) (settingssync.WriteOutcome, error)
	Outcome(ctx context.Context, operation string) (settingssync.WriteOutcome, error)
	History(path string) []settings.DecidedWrite
	LogHealthy() bool
	// NodeStatuses returns which settings are in force at all entries and at the agents
	// that get their settings from them, as far as this entry knows.
	NodeStatuses() []settingssync.NodeStatus
}

// RouteQuery describes requests whose routing is to be explained.
type RouteQuery struct {
	Kind  schema.TargetKind
	Name  catalog.TeamName // of the model or service
	Class schema.Class
}

// Counter counts refused requests by code. The entry implements it with a
// *metrics.Registry.
type Counter interface {
	Refused(code string)
}

// Config configures the API.
type Config struct {
	Node                         string // name of this entry
	FailureDomain                string
	BootstrapOperatorTokenSHA256 string // hex; this operator may write everything; empty for none
	Settings                     Settings
	// Catalog returns the catalog in force; nil to build one from the snapshot.
	Catalog func() *catalog.Catalog
	// Targets returns the state of each target by name; nil if none is known.
	Targets func() map[string]Load
	// Explain returns how the entry rates the targets for a request; nil if it
	// routes no requests.
	Explain      func(query RouteQuery) []routing.Explanation
	Counter      Counter       // nil: refusals are not counted
	ReadTimeout  time.Duration // to receive a body; default DefaultReadTimeout
	WriteTimeout time.Duration // to wait for the verdict on a write; default DefaultWriteTimeout
}

// Defaults and bounds.
const (
	DefaultReadTimeout  = 5 * time.Second
	DefaultWriteTimeout = 10 * time.Second
	maxValidateBytes    = 4 << 20
	maxValidateDepth    = 24
	maxValidateSettings = 4096
	maxListed           = 1000 // settings on one page of a list
)

func (c Config) withDefaults() Config {
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	return c
}
