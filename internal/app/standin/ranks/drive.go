package ranks

import (
	"context"
	"time"
)

// Drive calls Begin once for each rank in each interval, until ctx ends.
func (g *Group) Drive(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for r := range g.size() {
				g.Begin(r)
			}
		}
	}
}

func (g *Group) size() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return len(g.ranks)
}
