package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	shortestRound      = time.Second
	tellsPerSecond     = 8 // to peers, unless the shortest round asks for more
	tellTimeout        = 2 * time.Second
	idleTellTimeout    = 5 * time.Second // until the session to a peer is closed, unless there is TLS
	tellsAtOnce        = 32
	peersToldOfStrikes = 32 // at once; the others hear of them in the next round
	roundsOfNewStrikes = 5  // in which a new strike is told
	roundsToAllStrikes = 30 // from one that tells all strikes to the next
	maxStrikesTold     = 1024
	noSettingsWanted   = int64(1) << 62 // an offset that no peer is above
)

// roundTime returns the time in which each of some peers is told once. It
// grows with their number, so that the traffic of a node does not.
func roundTime(peers int) time.Duration {
	return max(shortestRound, time.Duration(peers)*time.Second/tellsPerSecond)
}

// limitsConfig returns how long shares wait for peers that are told of demands
// once in a round.
func limitsConfig(peers int) limits.Config {
	stretch := float64(roundTime(peers)) / float64(shortestRound)
	return limits.Config{
		StaleAfter: time.Duration(float64(limits.DefaultStaleAfter) * stretch),
		Guard:      time.Duration(float64(limits.DefaultGuard) * stretch),
	}
}

// exchanger tells all peers the demands on limits and the strikes of this
// entry, and takes in theirs.
type exchanger struct {
	name        string
	incarnation string
	peers       []settingssync.Peer
	pool        *link.Pool // of its own
	limits      *limits.Limiter
	strikes     *strike.Table
	struck      chan struct{} // a strike that peers are to hear of at once
	round       time.Duration // in which each peer is told once
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
	ticker := time.NewTicker(x.round / time.Duration(max(len(x.peers), 1)))
	defer ticker.Stop()
	var tells errgroup.Group
	tells.SetLimit(tellsAtOnce)
	defer func() { _ = tells.Wait() }()
	var sync *wire.PeerSync
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-x.struck:
			x.tellStrikes(ctx, &tells)
		case <-ticker.C:
			if turn == 0 {
				sync = x.report(time.Now())
			}
			if turn < len(x.peers) {
				peer := x.peers[turn]
				message := sync
				tells.Go(func() error { x.tell(ctx, peer, message); return nil })
			}
			turn = (turn + 1) % max(len(x.peers), 1)
		}
	}
}

// tellStrikes tells some peers of new strikes at once.
func (x *exchanger) tellStrikes(ctx context.Context, tells *errgroup.Group) {
	sync := x.message(x.newStrikes(time.Now()))
	for i, n := range rand.Perm(len(x.peers)) {
		if i == peersToldOfStrikes {
			return
		}
		peer := x.peers[n]
		tells.Go(func() error { x.tell(ctx, peer, sync); return nil })
	}
}

// report returns the regular message with the demands on limits.
func (x *exchanger) report(now time.Time) *wire.PeerSync {
	strikes := x.newStrikes(now)
	x.rounds++
	if x.rounds%roundsToAllStrikes == 0 {
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
	return x.strikes.CountsSince(now.Add(-roundsOfNewStrikes*x.round), now)
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

// tell sends a message to one peer and notes its delivery. A peer that cannot
// be told is told again in the next round.
func (x *exchanger) tell(ctx context.Context, peer settingssync.Peer, sync *wire.PeerSync) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	stream, err := x.pool.Open(ctx, peer.Addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: sync}})
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(tellTimeout))
	if stream.Receive(&wire.SettingsUpdate{}) == nil && sync.GetReport() > 0 {
		x.limits.Delivered(time.Now(), peer.Name, sync.GetReport())
	}
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
