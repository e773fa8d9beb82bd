package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	exchangeInterval = time.Second
	exchangeTimeout  = 2 * time.Second
	exchangesAtOnce  = 32
	strikesNewFor    = 5 * time.Second // how long a new strike is told in each exchange
	allStrikesEvery  = 30              // exchanges from one that tells all strikes to the next
	maxStrikesTold   = 1024
	noSettingsWanted = int64(1) << 62 // an offset that no peer is above
)

// exchanger tells all peers the demands on limits and the strikes of this
// entry, and takes in theirs.
type exchanger struct {
	name        string
	incarnation string
	peers       []settingssync.Peer
	pool        *link.Pool
	limits      *limits.Limiter
	strikes     *strike.Table
	struck      chan struct{} // a strike that peers are to hear of at once
	rounds      int
}

// onStrike makes the exchanger tell new strikes at once.
func (x *exchanger) onStrike(strike.Count) {
	select {
	case x.struck <- struct{}{}:
	default:
	}
}

// run exchanges until ctx ends.
func (x *exchanger) run(ctx context.Context) error {
	names := make([]string, 0, len(x.peers))
	for _, peer := range x.peers {
		names = append(names, peer.Name)
	}
	x.limits.SetPeers(time.Now(), names)
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			x.tellAll(ctx, x.report(time.Now()))
		case <-x.struck:
			x.tellAll(ctx, x.message(x.newStrikes(time.Now())))
		}
	}
}

// report returns the regular message with the demands on limits.
func (x *exchanger) report(now time.Time) *wire.PeerSync {
	strikes := x.newStrikes(now)
	x.rounds++
	if x.rounds%allStrikesEvery == 0 {
		strikes = x.strikes.Counts(now)
	}
	sync := x.message(strikes)
	report := x.limits.Report(now)
	sync.Report = report.Number
	for _, usage := range report.Usage {
		sync.Usage = append(sync.Usage, &wire.Usage{
			Subject:           usage.Subject,
			RequestsPerSecond: usage.Demand[limits.Requests],
			TokensPerSecond:   usage.Demand[limits.Tokens],
			Concurrent:        usage.Demand[limits.Concurrent],
		})
	}
	return sync
}

func (x *exchanger) newStrikes(now time.Time) []strike.Count {
	return x.strikes.CountsSince(now.Add(-strikesNewFor), now)
}

func (x *exchanger) message(strikes []strike.Count) *wire.PeerSync {
	sync := &wire.PeerSync{Node: x.name, Incarnation: x.incarnation, Offset: noSettingsWanted}
	for _, count := range strikes[:min(len(strikes), maxStrikesTold)] {
		sync.Strikes = append(sync.Strikes, &wire.Strike{
			Fingerprint: count.Fingerprint,
			Node:        count.Node,
			Count:       int32(count.Strikes),
			Cleared:     int32(count.Cleared),
		})
	}
	return sync
}

func (x *exchanger) tellAll(ctx context.Context, sync *wire.PeerSync) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(exchangesAtOnce)
	for _, peer := range x.peers {
		group.Go(func() error {
			if x.tell(ctx, peer, sync) == nil && sync.GetReport() > 0 {
				x.limits.Delivered(time.Now(), peer.Name, sync.GetReport())
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (x *exchanger) tell(ctx context.Context, peer settingssync.Peer, sync *wire.PeerSync) error {
	stream, err := x.pool.Open(ctx, peer.Addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: sync}})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	if err := stream.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return err
	}
	return stream.Receive(&wire.SettingsUpdate{})
}

// take takes in what a peer tells.
func (x *exchanger) take(sync *wire.PeerSync) {
	now := time.Now()
	var counts []strike.Count
	for _, told := range sync.GetStrikes() {
		counts = append(counts, strike.Count{
			Fingerprint: told.GetFingerprint(),
			Node:        told.GetNode(),
			Strikes:     int(told.GetCount()),
			Cleared:     int(told.GetCleared()),
		})
	}
	x.strikes.Merge(counts, now)
	if sync.GetReport() == 0 {
		return
	}
	usage := make([]limits.Usage, 0, len(sync.GetUsage()))
	for _, told := range sync.GetUsage() {
		demand := limits.Amounts{
			limits.Requests:   told.GetRequestsPerSecond(),
			limits.Tokens:     told.GetTokensPerSecond(),
			limits.Concurrent: told.GetConcurrent(),
		}
		usage = append(usage, limits.Usage{Subject: told.GetSubject(), Demand: demand})
	}
	x.limits.Receive(now, sync.GetNode(), usage)
}
