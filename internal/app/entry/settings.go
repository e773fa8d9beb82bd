package entry

import (
	"context"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/settings"
	"quetzalbend/internal/metrics"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

// publishSettings puts each new snapshot of the node in force until ctx ends.
func publishSettings(ctx context.Context, node *settingssync.Node, tables *tables) error {
	for {
		changed := node.Changed()
		if snapshot := node.Snapshot(); snapshot != nil {
			tables.publish(snapshot)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// agents returns the agents in a snapshot that get settings from entries.
func (t *tables) agents(snapshot *settings.Snapshot) []settingssync.Agent {
	table := t.Table()
	if table != nil && table.Catalog().Offset == snapshot.Offset() {
		return settingssync.AgentsOf(table.Catalog())
	}
	return settingssync.AgentsOf(catalog.Build(snapshot))
}

// servePeer serves one stream that another entry opened.
func (e *Entry) servePeer(ctx context.Context, open *wire.Open, stream *link.Stream) {
	if open.GetPeer() != nil {
		e.node.HandlePeer(ctx, open, stream)
		return
	}
	e.permits.serve(open, stream)
}

// copyMetrics copies the metrics of the settings node into the registry that
// operators read.
func copyMetrics(from gometrics.Registry, into *metrics.Registry) {
	from.Each(func(name string, metric any) {
		name = strings.ReplaceAll(name, ".", "_")
		switch metric := metric.(type) {
		case gometrics.Counter:
			counter := into.Counter(name + "_total")
			counter.Inc(metric.Count() - counter.Count())
		case gometrics.Gauge:
			into.Gauge(name).Update(metric.Value())
		}
	})
}
