package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/core/strike"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	announceInterval = 15 * time.Second // between records of this node in the store
	listInterval     = 12 * time.Second // between reads of the other nodes' records
	announceRetry    = 4 * time.Second
	listRetry        = 2 * time.Second  // after a read that failed, and after the first
	nodeLifetime     = 50 * time.Second // of a node whose record does not change
	storeTimeout     = time.Second
	loadInterval     = 60 * time.Millisecond  // between datagrams while requests run
	idleInterval     = 300 * time.Millisecond // and while none run; gateways that read the store are relied on for a little longer
	datagramBytes    = 8 << 10
	maxStateBytes    = 32 << 20
	spareGateways    = 3  // that may be added at any moment
	gatewaysUnknown  = 30 // assumed until the nodes have been read once
)

// peerRecord is a node's record in the store.
type peerRecord struct {
	Control  string `json:"control"`  // where FleetState is served
	Loads    string `json:"loads"`    // where NodeLoad datagrams are received
	Revision int64  `json:"revision"` // time of writing, in Unix nanoseconds
}

type peerNode struct {
	record peerRecord
	seen   time.Time // when the record was last seen to change, or a datagram came
}

// peers are the other gateways.
type peers struct {
	gateway *Gateway
	conn    *net.UDPConn
	client  *http.Client
	started time.Time

	mu      sync.Mutex
	nodes   map[string]peerNode
	readers map[string]reader // gateways of this failure domain, by name
	most    int               // gateways seen at once
	turn    int
}

func newPeers(g *Gateway) *peers {
	return &peers{
		gateway: g,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		started: time.Now(),
		nodes:   make(map[string]peerNode),
		readers: make(map[string]reader),
	}
}

func (p *peers) run(ctx context.Context) error {
	address := &net.UDPAddr{IP: net.ParseIP(p.gateway.node.IP), Port: p.gateway.node.Ports[0]}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return errors.Wrapf(err, "listen for peers on %s", address)
	}
	p.conn = conn
	group, ctx := errgroup.WithContext(ctx)
	p.announce(ctx) // before the first list: of two nodes that start together, one finds the other
	group.Go(func() error { return p.announceRepeatedly(ctx) })
	group.Go(func() error { return p.list(ctx) })
	group.Go(func() error { return p.send(ctx) })
	group.Go(func() error { return p.receive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

// assumed returns the number of gateways that shares of common limits are
// reckoned for: never fewer than there may be.
func (p *peers) assumed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.most == 0 {
		return gatewaysUnknown
	}
	return p.most + spareGateways
}

func (p *peers) announceRepeatedly(ctx context.Context) error {
	wait := announceInterval
	for pause.For(ctx, wait) {
		wait = announceInterval
		if !p.announce(ctx) {
			wait = announceRetry
		}
	}
	return nil
}

// announce writes this node's record and reports whether that succeeded.
func (p *peers) announce(ctx context.Context) bool {
	record := peerRecord{
		Control:  p.gateway.node.ControlAddress,
		Loads:    p.conn.LocalAddr().String(),
		Revision: time.Now().UnixNano(),
	}
	value, err := json.Marshal(record)
	if err == nil {
		putCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err = p.gateway.store.Put(putCtx, platform.TopicNodes, p.gateway.node.Name, value)
	}
	if err != nil {
		p.gateway.log.Problem("node not announced", err, nil)
	}
	return err == nil
}

// list reads the other nodes' records. Nodes that start later tell of
// themselves by their datagrams.
func (p *peers) list(ctx context.Context) error {
	wait := listRetry
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		batch, err := p.gateway.store.Newest(readCtx, platform.TopicNodes)
		cancel()
		if err != nil {
			p.gateway.log.Decision("nodes not read", eventlog.Fields{"error": err.Error()})
			pause.For(ctx, listRetry)
			continue
		}
		p.learn(batch.Records, time.Now())
		pause.For(ctx, wait)
		wait = listInterval
	}
	return nil
}

func (p *peers) learn(records []platform.Record, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		var record peerRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			p.gateway.log.Problem("node record refused", err, eventlog.Fields{"node": r.Key})
			continue
		}
		if known, ok := p.nodes[r.Key]; !ok || known.record.Revision != record.Revision {
			p.nodes[r.Key] = peerNode{record, now}
		}
	}
	p.countLive(now)
}

// learnNode notes that a node lives, and where, from its datagram.
func (p *peers) learnNode(datagram *wire.NodeLoad, from *net.UDPAddr, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	node, known := p.nodes[datagram.Node]
	node.record.Control = datagram.ControlAddress
	node.record.Loads = from.String()
	node.seen = now
	p.nodes[datagram.Node] = node
	if !known {
		p.countLive(now)
	}
}

// countLive forgets nodes that were not seen for long. The caller holds the
// lock.
func (p *peers) countLive(now time.Time) {
	maps.DeleteFunc(p.nodes, func(_ string, node peerNode) bool { return now.Sub(node.seen) > nodeLifetime })
	p.most = max(p.most, len(p.nodes))
}

// others returns the records of the other gateways.
func (p *peers) others() []peerRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]string, 0, len(p.nodes))
	for name := range p.nodes {
		if name != p.gateway.node.Name {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	records := make([]peerRecord, len(names))
	for i, name := range names {
		records[i] = p.nodes[name].record
	}
	return records
}

// Ask asks the next peer in turn for what it has read from the store.
func (p *peers) Ask(ctx context.Context, settingsNext, targetsNext int64) (*wire.FleetState, error) {
	address := p.nextAddress()
	if address == "" {
		return nil, nil
	}
	return p.ask(ctx, address, settingsNext, targetsNext)
}

func (p *peers) ask(ctx context.Context, address string, settingsNext, targetsNext int64) (*wire.FleetState, error) {
	url := fmt.Sprintf("http://%s%s?settings=%d&targets=%d", address, peerStatePath, settingsNext, targetsNext)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "ask peer")
	}
	defer answer.Body.Close() //nolint:errcheck // what was read of it counts
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxStateBytes))
	if err != nil {
		return nil, errors.Wrapf(err, "ask peer %s", address)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, errors.Errorf("ask peer %s: status %d", address, answer.StatusCode)
	}
	shared := &wire.FleetState{}
	return shared, errors.Wrapf(proto.Unmarshal(data, shared), "ask peer %s", address)
}

func (p *peers) nextAddress() string {
	addresses := append([]string(nil), p.gateway.node.Seeds...)
	for _, record := range p.others() {
		addresses = append(addresses, record.Control)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range addresses {
		p.turn++
		address := addresses[p.turn%len(addresses)]
		if address != p.gateway.node.ControlAddress {
			return address
		}
	}
	return ""
}

// send tells the other gateways what this one has running and how far it has
// read the store: more often while something runs, and at once when it has read
// on.
func (p *peers) send(ctx context.Context) error {
	sequence := int64(0)
	idle := false
	struck, sent := time.Time{}, time.Time{}
	told := &wire.ReadState{}
	for pause.For(ctx, loadInterval) {
		now := time.Now()
		loads := p.gateway.loads.own(now)
		read := p.gateway.state.ReadState()
		news := read.SettingsNext != told.SettingsNext || read.TargetsChanged != told.TargetsChanged
		if len(loads) == 0 && idle && !news && now.Sub(sent) < idleInterval {
			continue
		}
		idle = len(loads) == 0
		told, sent = read, now
		sequence++
		datagram := &wire.NodeLoad{
			Node:           p.gateway.node.Name,
			ControlAddress: p.gateway.node.ControlAddress,
			Incarnation:    p.started.UnixNano(),
			Sequence:       sequence,
			Loads:          loads,
			Domain:         p.gateway.node.Domain,
			Read:           read,
		}
		for _, count := range p.gateway.strikes.CountsSince(struck, now) {
			if count.Node == p.gateway.node.Name {
				datagram.Strikes = append(datagram.Strikes, &wire.RequestStrikes{Fingerprint: count.Fingerprint, Strikes: int32(count.Strikes)})
			}
		}
		struck = now.Add(-strikeRepeat)
		p.sendAll(datagram)
	}
	return nil
}

// strikeRepeat is how long a strike is told again, since datagrams may be lost.
const strikeRepeat = 300 * time.Millisecond

func (p *peers) sendAll(datagram *wire.NodeLoad) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		p.gateway.log.Problem("datagram not encoded", err, nil)
		return
	}
	for _, record := range p.others() {
		address, err := net.ResolveUDPAddr("udp4", record.Loads)
		if err != nil {
			p.gateway.log.Problem("peer's address refused", err, eventlog.Fields{"address": record.Loads})
			continue
		}
		if _, err := p.conn.WriteToUDP(data, address); err != nil {
			p.gateway.log.Decision("datagram not sent", eventlog.Fields{"peer": record.Loads, "error": err.Error()})
		}
	}
}

func (p *peers) receive(ctx context.Context) error {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				p.gateway.log.Decision("datagram not received", eventlog.Fields{"error": err.Error()})
				pause.For(ctx, loadInterval)
			}
			continue
		}
		datagram := &wire.NodeLoad{}
		if err := proto.Unmarshal(buffer[:n], datagram); err != nil {
			p.gateway.log.Decision("datagram refused", eventlog.Fields{"error": err.Error()})
			continue
		}
		now := time.Now()
		p.gateway.loads.heard(datagram, now)
		p.learnStrikes(datagram, now)
		p.learnReader(datagram, now)
		p.learnNode(datagram, from, now)
	}
	return nil
}

func (p *peers) learnStrikes(datagram *wire.NodeLoad, now time.Time) {
	counts := make([]strike.Count, 0, len(datagram.Strikes))
	for _, s := range datagram.Strikes {
		counts = append(counts, strike.Count{Fingerprint: s.Fingerprint, Node: datagram.Node, Strikes: int(s.Strikes)})
	}
	if len(counts) > 0 {
		p.gateway.strikes.Merge(counts, now)
	}
}
