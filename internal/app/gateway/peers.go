package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"quetzalbend/internal/adapter/answers"
	"quetzalbend/internal/eventlog"
	"quetzalbend/internal/fleetsync"
	"quetzalbend/internal/pause"
	"quetzalbend/internal/supervise"
	"quetzalbend/internal/wire"
	"quetzalbend/platform"
)

const (
	announceInterval = 15 * time.Second // between writes of this node's record to the store
	listInterval     = 12 * time.Second // between reads of the other nodes' records
	announceRetry    = 4 * time.Second
	listRetry        = 2 * time.Second  // after a failed read and after the first read
	nodeLifetime     = 50 * time.Second // a node is forgotten this long after its last sign of life
	storeTimeout     = time.Second
	firstReadTimeout = 300 * time.Millisecond // of a read that delays the start
	loadInterval     = 60 * time.Millisecond  // between datagrams while requests run
	idleInterval     = 300 * time.Millisecond // between datagrams while none run; less than readers.MaxReadAge, since peers rely on a reported read only up to that age
	datagramBytes    = 64 << 10               // the largest that UDP carries
	maxStateBytes    = 8 << 20                // of a peer: settings of 256 KiB a record, and some hundred bytes for each target and gateway
	aliveAge         = time.Second            // after its last datagram, a gateway counts as alive
)

// peerRecord is a gateway's record in the store.
type peerRecord struct {
	Control  string `json:"control"`  // where FleetState is served
	Loads    string `json:"loads"`    // where NodeLoad datagrams are received
	Revision int64  `json:"revision"` // time of writing, in Unix nanoseconds
	Started  int64  `json:"started"`  // start of the process, in Unix nanoseconds
}

// maxClockAhead is how far the clock of another node may be ahead of this one's.
const maxClockAhead = time.Hour

// decodePeerRecord decodes a node's record. Other programs may have written it.
func decodePeerRecord(data []byte, now time.Time) (peerRecord, error) {
	var record peerRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return peerRecord{}, err
	}
	if err := platform.CheckAddress(record.Control); err != nil {
		return peerRecord{}, errors.Wrap(err, "control address")
	}
	if err := platform.CheckAddress(record.Loads); err != nil {
		return peerRecord{}, errors.Wrap(err, "address for datagrams")
	}
	if written := time.Unix(0, record.Revision); written.Sub(now) > maxClockAhead {
		return peerRecord{}, errors.Errorf("written at %s", written)
	}
	return record, nil
}

// peerNode is what this gateway knows of one gateway.
type peerNode struct {
	record   peerRecord
	lastSeen time.Time // last change of the record or last datagram
	heard    time.Time // last datagram; zero: none
	lists    bool      // it knows all gateways, by its last datagram
}

// peers tracks the other gateways and exchanges load datagrams with them.
type peers struct {
	gateway *Gateway
	conn    *net.UDPConn
	client  *http.Client
	started time.Time

	mu        sync.Mutex
	nodes     map[string]peerNode
	readers   map[string]readerState // gateways of this failure domain that may read the store for this one, by name
	members   membership
	peerIndex int
}

func newPeers(g *Gateway) *peers {
	started := time.Now()
	return &peers{
		gateway: g,
		client:  &http.Client{Transport: answers.NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxAnswerHeadBytes})},
		started: started,
		nodes:   make(map[string]peerNode),
		readers: make(map[string]readerState),
		members: newMembership(g.node.Name, started),
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
	_, read := p.readNodes(ctx, firstReadTimeout) // before the announcement: tells whether a process of this name ran before
	written := p.announce(ctx)                    // before the next read: if two nodes start together, at least one finds the other
	p.recordAnnounced(read, written, time.Now())
	for name, loop := range map[string]func(context.Context) error{
		"announcements": p.announceRepeatedly, "list of gateways": p.list, "members": p.learnMembers,
		"datagrams to peers": p.send, "datagrams of peers": p.receive,
	} {
		group.Go(func() error { return supervise.Loop(ctx, p.gateway.log, name, loop, nil) })
	}
	group.Go(func() error {
		<-ctx.Done()
		return conn.Close()
	})
	return group.Wait()
}

// announceRepeatedly writes this node's record at times, and at once in a new era of the
// store, which may have lost it.
func (p *peers) announceRepeatedly(ctx context.Context) error {
	era, wait := p.gateway.store.Era(), announceInterval
	for p.gateway.waitInEra(ctx, era, wait) {
		era, wait = p.gateway.store.Era(), announceInterval
		if !p.announce(ctx) {
			wait = announceRetry
		}
	}
	return nil
}

// waitInEra waits for a time, or until the store names an era newer than the given one.
// It reports whether ctx has not ended.
func (g *Gateway) waitInEra(ctx context.Context, era int64, wait time.Duration) bool {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-g.store.EraChanged(era):
	case <-waitCtx.Done():
	}
	return ctx.Err() == nil
}

// announce writes this node's record and reports whether that succeeded.
func (p *peers) announce(ctx context.Context) bool {
	record := peerRecord{
		Control:  p.gateway.node.ControlAddress,
		Loads:    p.conn.LocalAddr().String(),
		Revision: time.Now().UnixNano(),
		Started:  p.started.UnixNano(),
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

// list reads the nodes' records repeatedly. Nodes that start later also become
// known by their datagrams.
func (p *peers) list(ctx context.Context) error {
	wait := listRetry
	for ctx.Err() == nil {
		era := p.gateway.store.Era()
		batch, ok := p.readNodes(ctx, storeTimeout)
		if !ok {
			pause.For(ctx, listRetry)
			continue
		}
		p.deleteExpired(ctx, batch.Records)
		p.gateway.waitInEra(ctx, max(era, batch.Era), wait)
		wait = listInterval
	}
	return nil
}

// readNodes reads the nodes' records from the store and reports whether that succeeded.
func (p *peers) readNodes(ctx context.Context, timeout time.Duration) (platform.Batch, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	batch, err := p.gateway.store.Newest(ctx, platform.TopicNodes)
	if err != nil {
		p.gateway.log.Decision("nodes not read", eventlog.Fields{"error": err.Error()})
		return platform.Batch{}, false
	}
	p.recordNodes(batch.Records, time.Now())
	return batch, true
}

// recordNodes records the nodes in the store whose records have changed, and all of them as
// members.
func (p *peers) recordNodes(records []platform.Record, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		record, err := decodePeerRecord(r.Value, now)
		if err != nil {
			p.gateway.log.Problem("invalid node record", err, eventlog.Fields{"node": r.Key})
			continue
		}
		age := record.age(now)
		if age > memberLifetime {
			continue
		}
		p.members.add(r.Key, record, now.Add(-age))
		// A lower revision is from before the store came back from a copy.
		if known, ok := p.nodes[r.Key]; !ok || known.record.Revision < record.Revision {
			p.nodes[r.Key] = peerNode{record: record, lastSeen: now, heard: known.heard, lists: known.lists}
		}
	}
	if !p.members.listed {
		p.gateway.log.State("gateways listed", eventlog.Fields{"gateways": len(p.members.known)})
	}
	p.members.recordList(now)
	p.expireNodes(now)
}

// recordNode records from its datagram that a node is alive, and its addresses.
func (p *peers) recordNode(datagram *wire.NodeLoad, from *net.UDPAddr, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	node, known := p.nodes[datagram.Node]
	node.record.Control = datagram.ControlAddress
	node.record.Loads = from.String()
	node.record.Started = datagram.Incarnation
	node.lastSeen, node.heard, node.lists = now, now, datagram.ListsGateways
	p.nodes[datagram.Node] = node
	p.members.add(datagram.Node, node.record, now)
	if !known {
		p.expireNodes(now)
	}
}

// expireNodes removes nodes that were not seen for nodeLifetime. The caller holds the lock.
func (p *peers) expireNodes(now time.Time) {
	maps.DeleteFunc(p.nodes, func(_ string, node peerNode) bool { return now.Sub(node.lastSeen) > nodeLifetime })
}

// others returns the records of the other gateways, sorted by name.
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

// alive returns the names of the other gateways from which a datagram has come lately.
func (p *peers) alive(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, node := range p.nodes {
		if name != p.gateway.node.Name && now.Sub(node.heard) <= aliveAge {
			names = append(names, name)
		}
	}
	return names
}

// FetchFromPeer fetches from the next peer (round robin) the state that is newer than
// the given places. It returns nil if there is no peer.
func (p *peers) FetchFromPeer(ctx context.Context, settings, targets platform.Position) (*wire.FleetState, error) {
	address := p.nextAddress()
	if address == "" {
		return nil, nil
	}
	return p.fetch(ctx, address, settings, targets)
}

// fetch fetches the state of the gateway whose control address is given.
func (p *peers) fetch(ctx context.Context, address string, settings, targets platform.Position) (*wire.FleetState, error) {
	query := make(url.Values)
	setPosition(query, "settings", settings)
	setPosition(query, "targets", targets)
	if !p.membersKnown() {
		query.Set(nodesQuery, "1")
	}
	target := fmt.Sprintf("http://%s%s?%s", address, peerStatePath, query.Encode())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	shared := &wire.FleetState{}
	if err := p.exchange(request, shared, maxStateBytes); err != nil {
		return nil, errors.Wrapf(err, "fetch state of peer %s", address)
	}
	if len(shared.Nodes) > 0 {
		p.recordNodes(fleetsync.Records(shared.Nodes), time.Now())
	}
	return shared, nil
}

// exchange sends a peer a request and decodes its answer, of so many bytes at most.
func (p *peers) exchange(request *http.Request, answer proto.Message, maxBytes int64) error {
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // only the result of reading matters
	data, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return proto.Unmarshal(data, answer)
}

// nextAddress returns the control address of the next peer in turn, or an empty
// string if there is none.
func (p *peers) nextAddress() string {
	addresses := append([]string(nil), p.gateway.node.Seeds...)
	for _, record := range p.others() {
		addresses = append(addresses, record.Control)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for range addresses {
		p.peerIndex++
		address := addresses[p.peerIndex%len(addresses)]
		if address != p.gateway.node.ControlAddress {
			return address
		}
	}
	return ""
}
