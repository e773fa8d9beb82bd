package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/platform/platformtest"
)

const (
	poisonPart     = "bad0"
	targetDowntime = 300 * time.Millisecond
	toldAfter      = 3 * time.Second // after the fifth crash, in which all gateways must have learned
	lateSends      = 3               // requests with the part that may still be sent after that
)

// poisonBed runs several gateways before targets that crash on one part of a prompt.
type poisonBed struct {
	*testbed
	gateways []*testbed
	targets  []*platformtest.Target
}

func newPoisonBed(t *testing.T, gateways, targets int) *poisonBed {
	p := &poisonBed{}
	for i := range targets {
		p.targets = append(p.targets, platformtest.NewTarget(t, fmt.Sprint("i-", i)))
	}
	p.testbed = newTestbed(t, p.targets...)
	for _, target := range p.targets {
		target.CrashOn(poisonPart, targetDowntime, func(restarts int) {
			p.store.PutJSON(t, "keyed.servers", target.ID, targetRecord(target, object{"born": 1 + restarts}))
		})
	}
	p.gateways = []*testbed{p.testbed}
	for i := 1; i < gateways; i++ {
		p.addGateway(fmt.Sprint("gateway-", i+1))
	}
	for _, b := range p.gateways {
		b.wait("the gateways know each other", func() bool { return len(b.gateway.peers.others()) == gateways-1 })
	}
	return p
}

func (p *poisonBed) addGateway(name string) *testbed {
	g, stop, ended := startGateway(p.t, name, p.store.Address(), nil)
	b := &testbed{t: p.t, store: p.store, gateway: g, stop: stop, ended: ended}
	b.waitReady()
	p.gateways = append(p.gateways, b)
	return b
}

// prompt sends a request whose prompt has the given shared parts and one of its own.
func (b *testbed) prompt(parts string, number int) reply {
	b.t.Helper()
	request := b.request(b.t.Context(), http.MethodPost, "/stream/", fmt.Sprint("prompt ", number))
	request.Header.Set("Prompt-Prefix", fmt.Sprintf("%s,%x:20", parts, 1<<20+number))
	return b.do(request)
}

// fifthCrash returns when the fifth crash was, or false if there were fewer.
func (p *poisonBed) fifthCrash() (time.Time, bool) {
	var times []time.Time
	for _, target := range p.targets {
		times = append(times, target.Crashes()...)
	}
	if len(times) < 5 {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[4], true
}

// sentAfter returns how many requests with the part have reached the targets since then.
func (p *poisonBed) sentAfter(since time.Time) int {
	count := 0
	for _, target := range p.targets {
		for _, arrival := range target.Arrivals() {
			if platformtest.HasPart(arrival.Header, poisonPart) && arrival.At.After(since) {
				count++
			}
		}
	}
	return count
}

// load sends sound requests to all gateways until stop is closed, and returns how many
// were served and how many not.
func (p *poisonBed) load(stop chan struct{}) (served, lost int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, b := range p.gateways {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				got := b.prompt(fmt.Sprintf("5a:40,%x:300", i), i<<16+n)
				mu.Lock()
				if got.err == nil && got.status == http.StatusOK {
					served++
				} else {
					lost++
				}
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return served, lost
}

// Requests that share one part, no two alike, arrive at all gateways and crash each
// target that begins to answer them. Sound ones share the first part with them.
func TestPartThatCrashesTargetsIsRefusedByAllGatewaysAndSoundRequestsAreServed(t *testing.T) {
	p := newPoisonBed(t, 3, 4)
	stop := make(chan struct{})
	refusedInARow := 0
	var served, lost int
	var load sync.WaitGroup
	load.Go(func() { served, lost = p.load(stop) })
	pace := time.NewTicker(100 * time.Millisecond)
	defer pace.Stop()
	started := time.Now()
	for n := 0; refusedInARow < 30 && time.Since(started) < 15*time.Second; n++ {
		got := p.gateways[n%len(p.gateways)].prompt("5a:40,"+poisonPart+":300", 1<<24+n)
		refusedInARow++
		if got.status != http.StatusServiceUnavailable {
			refusedInARow = 0
		}
		<-pace.C
	}
	close(stop)
	load.Wait()
	if fifth, crashed := p.fifthCrash(); crashed {
		late := p.sentAfter(fifth.Add(toldAfter))
		assert.Assert(t, late <= lateSends, "%d requests with the part were sent later than %s after the fifth crash", late, toldAfter)
	}
	assert.Assert(t, refusedInARow >= 30, "the part is not refused")
	assert.Assert(t, served > 9*lost, "%d sound requests served, %d not", served, lost)
}
