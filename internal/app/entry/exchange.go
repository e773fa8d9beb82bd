package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/link"
	"quetzalbend/internal/adapter/poisonwire"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/settingssync"
	"quetzalbend/internal/wire"
)

const (
	minRoundTime         = time.Second
	sendsPerSecond       = 8 // most messages to peers per second; fewer if the round would be shorter than minRoundTime
	sendTimeout          = 2 * time.Second
	peerIdleTimeout      = 5 * time.Second // until the session to a peer is closed, without TLS
	maxConcurrentSends   = 32
	newStrikeFanout      = 32 // peers that get a new strike at once; the others get it in the next round
	newStrikeRounds      = 5  // rounds in which a new strike is sent
	allStrikesInterval   = 30 // all strikes are sent in one of this many rounds
	maxStrikesPerMessage = 1024
	maxPartsPerMessage   = 64
	noSettingsRequested  = int64(1) << 62 // an offset that no peer's settings exceed
)

// roundTime returns the time in which each peer is sent one message. It grows with
// the number of peers, so that the traffic of a node does not.
func roundTime(peers int) time.Duration {
	return max(minRoundTime, time.Duration(peers)*time.Second/sendsPerSecond)
}

// limitsConfig scales the times of the limiter by the round time, since each peer
// is sent the demands once in a round.
func limitsConfig(name string, peers int) limits.Config {
	factor := float64(roundTime(peers)) / float64(minRoundTime)
	return limits.Config{
		Name:       name,
		StaleAfter: time.Duration(float64(limits.DefaultStaleAfter) * factor),
		Guard:      time.Duration(float64(limits.DefaultGuard) * factor),
	}
}

// exchanger sends all peers this entry's demands on limits and its strikes, and
// receives theirs. In each round it sends every peer one message.
type exchanger struct {
	name        string
	incarnation string
	peers       []settingssync.Peer
	pool        *link.Pool // separate from the entry's pool
	limits      *limits.Limiter
	permits     *permits
	strikes     *strike.Table
	poison      *poison.Table
	strikeAdded chan struct{} // signals a strike or a crash that is sent to peers at once
	round       time.Duration // time in which each peer is sent one message
	rounds      int           // rounds begun so far
}

// notifyStrike makes run send new strikes at once. It ignores the count, which is
// in the table of strikes already.
func (x *exchanger) notifyStrike(strike.Count) { x.notify() }

// notify makes run send new strikes and new crashes at once.
func (x *exchanger) notify() {
	select {
	case x.strikeAdded <- struct{}{}:
	default:
	}
}

// run sends messages to peers until ctx ends.
func (x *exchanger) run(ctx context.Context) error {
	ticker := time.NewTicker(x.round / time.Duration(max(len(x.peers), 1)))
	defer ticker.Stop()
	var sends errgroup.Group
	sends.SetLimit(maxConcurrentSends)
	defer func() { _ = sends.Wait() }()
	var round roundMessage
	for turn := 0; ; { // turn is the index of the next peer; a round begins at 0
		select {
		case <-ctx.Done():
			return nil
		case <-x.strikeAdded:
			x.sendStrikes(ctx, &sends)
		case <-ticker.C:
			if turn == 0 {
				round = x.report(time.Now())
			}
			if turn < len(x.peers) {
				peer := x.peers[turn]
				message := round.forPeer(peer.Name)
				sends.Go(func() error { x.send(ctx, peer, message); return nil })
			}
			turn = (turn + 1) % max(len(x.peers), 1)
		}
	}
}

// sendStrikes sends new strikes to some random peers at once.
func (x *exchanger) sendStrikes(ctx context.Context, sends *errgroup.Group) {
	peerSync := x.message(x.newStrikes(time.Now()))
	for i, n := range rand.Perm(len(x.peers)) {
		if i == newStrikeFanout {
			return
		}
		peer := x.peers[n]
		sends.Go(func() error { x.send(ctx, peer, peerSync); return nil })
	}
}

// roundMessage is the message of a round, which differs between peers only in the number
// of the newest report from each.
type roundMessage struct {
	message  *wire.PeerSync
	received map[string]uint64 // by peer
}

func (r roundMessage) forPeer(name string) *wire.PeerSync {
	message := proto.CloneOf(r.message)
	message.ReceivedReport = r.received[name]
	return message
}

// report returns the message of a round, with the demands on limits and strikes.
func (x *exchanger) report(now time.Time) roundMessage {
	strikes := x.newStrikes(now)
	x.rounds++
	if x.rounds%allStrikesInterval == 0 {
		strikes = x.strikes.Counts(now)
	}
	peerSync := x.message(strikes)
	report := x.limits.Report(now)
	peerSync.Report = report.Number
	for _, usage := range report.Usage {
		peerSync.Usage = append(peerSync.Usage, &wire.Usage{
			Subject:           usage.Subject,
			RequestsPerSecond: usage.Demand[limits.Requests],
			TokensPerSecond:   usage.Demand[limits.Tokens],
			Concurrent:        usage.Demand[limits.Concurrent],
			Excess:            usage.Excess,
		})
	}
	return roundMessage{message: peerSync, received: report.Received}
}

// newStrikes returns the strikes that are recent enough to be sent.
func (x *exchanger) newStrikes(now time.Time) []strike.Count {
	return x.strikes.CountsSince(now.Add(-newStrikeRounds*x.round), now)
}

// message returns a message with strikes that asks for no settings.
func (x *exchanger) message(strikes []strike.Count) *wire.PeerSync {
	now := time.Now()
	peerSync := &wire.PeerSync{Node: x.name, Incarnation: x.incarnation, Offset: noSettingsRequested}
	for _, count := range strikes[:min(len(strikes), maxStrikesPerMessage)] {
		peerSync.Strikes = append(peerSync.Strikes, &wire.Strike{
			Fingerprint: count.Fingerprint,
			Node:        count.Node,
			Count:       int32(count.Strikes),
			Cleared:     int32(count.Cleared),
			AgeMs:       now.Sub(count.At).Milliseconds(),
		})
	}
	peerSync.PartCrashes = x.partCrashes(now)
	return peerSync
}

// partCrashes returns the crashes that count against parts of prompts: those against
// parts that are not allowed, and those that are recent enough to be sent.
func (x *exchanger) partCrashes(now time.Time) []*wire.PartCrashes {
	evidence := append(x.poison.NotAllowed(now), x.poison.Observed(now.Add(-newStrikeRounds*x.round))...)
	return poisonwire.Encode(evidence[:min(len(evidence), maxPartsPerMessage)], now)
}

// send sends a message to one peer and reports its delivery to the limiter. It
// does not retry: the peer gets the next message in the next round.
func (x *exchanger) send(ctx context.Context, peer settingssync.Peer, peerSync *wire.PeerSync) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	stream, err := x.pool.Open(ctx, peer.Addr, &wire.Open{Purpose: &wire.Open_Peer{Peer: peerSync}})
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(sendTimeout))
	if stream.Receive(&wire.SettingsUpdate{}) != nil || peerSync.GetReport() == 0 {
		return
	}
	x.limits.Delivered(time.Now(), peer.Name, peerSync.GetReport())
	x.permits.askHeld(ctx, peer.Name)
}

// receive applies a message from a peer.
func (x *exchanger) receive(peerSync *wire.PeerSync) {
	now := time.Now()
	var counts []strike.Count
	for _, item := range peerSync.GetStrikes() {
		counts = append(counts, strike.Count{
			Fingerprint: item.GetFingerprint(),
			Node:        item.GetNode(),
			Strikes:     int(item.GetCount()),
			Cleared:     int(item.GetCleared()),
			At:          now.Add(-milliseconds(item.GetAgeMs())),
		})
	}
	x.strikes.Merge(counts, now)
	x.poison.Merge(poisonwire.Decode(peerSync.GetPartCrashes(), now), now)
	if peerSync.GetReport() == 0 {
		return
	}
	usage := make([]limits.Usage, 0, len(peerSync.GetUsage()))
	for _, item := range peerSync.GetUsage() {
		demand := limits.Amounts{
			limits.Requests:   item.GetRequestsPerSecond(),
			limits.Tokens:     item.GetTokensPerSecond(),
			limits.Concurrent: item.GetConcurrent(),
		}
		usage = append(usage, limits.Usage{Subject: item.GetSubject(), Demand: demand, Excess: item.GetExcess()})
	}
	x.limits.Receive(now, peerSync.GetNode(), usage)
	x.limits.ReceiveNumbers(now, peerSync.GetNode(), peerSync.GetReport(), peerSync.GetReceivedReport())
}
