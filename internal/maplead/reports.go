package maplead

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quetzalbend/internal/core/fleet"
	"quetzalbend/internal/core/mapchange"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/ranklink"
	"quetzalbend/internal/supervise"
)

const (
	readTimeout = 400 * time.Millisecond // of one read; leaves time for a retransmission
	// readWait is how long the leader waits for the reads that it has started, and after
	// which it starts another read of a rank that has not answered.
	readWait   = 60 * time.Millisecond
	rereadWait = 25 * time.Millisecond // like readWait, for reads without counts before a hold
	maxReads   = 8                     // of one rank in progress
	// rereadPause limits how often reread looks for the reads that have ended.
	rereadPause = time.Millisecond
	// maxReportAge is how long the last report of a rank is used while newer reads fail.
	maxReportAge = time.Second
	// maxCountedRanks limits the ranks whose counts are read: the counts of a large group
	// would fill the leader's link. Requests are spread evenly over the ranks, so a part of
	// the ranks shows the demand at all of them.
	maxCountedRanks = 24
	reportRetention = time.Minute // how long the report of an address without reads is kept
)

// member is the last known state of a rank, with the target that it runs on.
type member struct {
	target    fleet.Target
	rank      mapchange.Rank
	placement [][]int32 // experts that the rank holds, by set; nil: not reported
	readAt    time.Time // start of the read that returned the state
}

// report is what the leader knows of the rank at one address.
type report struct {
	member              // has no readAt if the state may not be used
	reads     int       // in progress
	lastRead  time.Time // start of the last read
	notBefore time.Time // reads that started earlier may not include the last order to the rank
}

// reports holds the last report of each rank. A read that takes longer than readWait,
// for instance because a packet was lost, delays neither the other ranks' reports nor
// the orders, and another read of the same rank may end before it.
type reports struct {
	ranks Ranks
	log   *eventlog.Log

	mu        sync.Mutex
	byAddress map[string]*report
}

func newReports(ranks Ranks, log *eventlog.Log) *reports {
	return &reports{ranks: ranks, log: log, byAddress: make(map[string]*report)}
}

// refresh starts a read of each target, except of those with a read that started within
// the last wait and has not ended. It returns when all of these reads have ended, or after
// wait.
func (r *reports) refresh(ctx context.Context, targets []fleet.Target, options ranklink.StateOptions, wait time.Duration) {
	counted := countedAddresses(targets)
	reads := &sync.WaitGroup{}
	now := time.Now()
	for _, target := range targets {
		inProgress, start := r.startRead(target.Address, now, wait)
		if !start {
			continue
		}
		targetOptions := options
		targetOptions.Counts = options.Counts && counted[target.Address] && inProgress == 0
		reads.Go(func() {
			supervise.Task(r.log, "report of a rank", func() { r.read(ctx, target, targetOptions, now) })
		})
	}
	ended := make(chan struct{})
	go func() {
		reads.Wait()
		close(ended)
	}()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-ended:
	case <-timeout.C:
	}
}

// reread reads all targets until each has answered a read that started after the call. It
// reports false if that takes longer than timeout.
func (r *reports) reread(ctx context.Context, targets []fleet.Target, timeout time.Duration) bool {
	since := time.Now()
	for time.Since(since) < timeout && ctx.Err() == nil {
		targets = r.readBefore(targets, since)
		if len(targets) == 0 {
			return true
		}
		r.refresh(ctx, targets, ranklink.StateOptions{}, rereadWait)
		pause.For(ctx, rereadPause)
	}
	return len(r.readBefore(targets, since)) == 0
}

// readBefore returns the targets whose last report is from a read that started before the
// given time.
func (r *reports) readBefore(targets []fleet.Target, since time.Time) []fleet.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var older []fleet.Target
	for _, target := range targets {
		if r.byAddress[target.Address].readAt.Before(since) {
			older = append(older, target)
		}
	}
	return older
}

// countedAddresses returns the addresses of the targets whose counts are read. They are
// the same for the same targets.
func countedAddresses(targets []fleet.Target) map[string]bool {
	addresses := make([]string, len(targets))
	for i, target := range targets {
		addresses[i] = target.Address
	}
	slices.Sort(addresses)
	count := min(len(addresses), maxCountedRanks)
	counted := make(map[string]bool, count)
	for i := range count {
		counted[addresses[i*len(addresses)/count]] = true
	}
	return counted
}

// startRead reports how many reads of the rank are in progress and whether another may be
// started, which it then counts.
func (r *reports) startRead(address string, now time.Time, wait time.Duration) (inProgress int, start bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[address]
	if known == nil {
		known = &report{}
		r.byAddress[address] = known
	}
	inProgress = known.reads
	if inProgress >= maxReads || inProgress > 0 && now.Sub(known.lastRead) < wait {
		return inProgress, false
	}
	known.reads++
	known.lastRead = now
	return inProgress, true
}

// read reads a rank and records its state, unless a read that started later has ended.
func (r *reports) read(ctx context.Context, target fleet.Target, options ranklink.StateOptions, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rank, placement, err := r.ranks.State(ctx, target, options)
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[target.Address]
	known.reads--
	switch {
	case err != nil:
		r.log.Decision("cannot read the rank", eventlog.Fields{"target": target.ID, "error": err.Error()})
	case started.Before(known.notBefore) || started.Before(known.readAt):
	default:
		rank.Target = target.Address
		if placement == nil && rank.Version == known.rank.Version && rank.Epoch == known.rank.Epoch {
			placement = known.placement
		}
		known.member = member{target, rank, placement, started}
	}
}

// members returns the ranks whose last report is recent enough to be used, by group.
// Each report's counts are returned once.
func (r *reports) members(targets []fleet.Target, now time.Time) map[string][]member {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := make(map[string][]member)
	for _, target := range targets {
		known := r.byAddress[target.Address]
		if known == nil || known.readAt.IsZero() || now.Sub(known.readAt) > maxReportAge {
			continue
		}
		groups[known.rank.Group] = append(groups[known.rank.Group], known.member)
		known.rank.Counts = nil
	}
	maps.DeleteFunc(r.byAddress, func(_ string, known *report) bool {
		return known.reads == 0 && now.Sub(known.readAt) > reportRetention && now.Sub(known.notBefore) > reportRetention
	})
	return groups
}

// accepted records the state of a rank after an order that it has accepted.
func (r *reports) accepted(rank mapchange.Rank, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[rank.Target]
	known.rank, known.notBefore = rank, now
	known.rank.Counts = nil
}

// invalidate records that the state of a rank is unknown until a read that starts
// later, since an order to it got no answer or was refused.
func (r *reports) invalidate(address string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byAddress[address]
	known.readAt, known.notBefore = time.Time{}, now
}
