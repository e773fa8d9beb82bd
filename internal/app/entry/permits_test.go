package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/rendezvous"
	"quetzalbend/internal/core/share"
	"quetzalbend/internal/settingssync"
)

// entries are some entries that are peers of each other.
type entries struct {
	t      *testing.T
	system *testSystem
	peers  []settingssync.Peer
	byName map[string]*Entry
	stop   map[string]func() // stops an entry and waits until it has ended
}

// startEntries starts entries with an account that may run one request at once.
func startEntries(t *testing.T, names ...string) *entries {
	s := newTestSystem(t)
	s.putDefaults()
	s.put("/teams/t/accounts/a", `{"token_sha256":"`+hashOfSecret()+`","limits":{"concurrent":1}}`)
	es := &entries{t: t, system: s, byName: make(map[string]*Entry), stop: make(map[string]func())}
	var reserved []net.Listener
	for _, name := range names {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		reserved = append(reserved, listener)
		es.peers = append(es.peers, settingssync.Peer{Name: name, Addr: listener.Addr().String(), FailureDomain: "d"})
	}
	for _, listener := range reserved {
		assert.NilError(t, listener.Close())
	}
	for _, name := range names {
		es.start(name)
	}
	for _, e := range es.byName {
		waitReady(t, e)
	}
	return es
}

func (es *entries) start(name string) {
	e, leave, done := es.system.start(name, func(c *Config) {
		c.NoticeMS, c.GraceMS = 1, 1
		for _, peer := range es.peers {
			if peer.Name == name {
				c.PeersListen = peer.Addr
				continue
			}
			c.Peers = append(c.Peers, peer)
		}
	})
	es.byName[name] = e
	es.stop[name] = func() {
		leave()
		assert.NilError(es.t, <-done)
	}
}

// holder returns the name of the entry whose part has the account's only permit.
func (es *entries) holder() string {
	var names []string
	for _, peer := range es.peers {
		names = append(names, peer.Name)
	}
	return share.NamesByRank(rendezvous.Hash("t/a"), names)[0]
}

// waitHeldKnown waits until all others have told an entry which of its permits they hold.
func (es *entries) waitHeldKnown(name string) {
	es.t.Helper()
	eventually(es.t, name+" knows what it has lent", func() bool {
		for other := range es.byName {
			if other != name && es.byName[name].limits.MustAskHeld(other, time.Time{}) {
				return false
			}
		}
		return true
	})
}

// other returns the name of an entry that is none of these.
func (es *entries) other(names ...string) string {
	for name := range es.byName {
		if len(names) == 0 || name != names[0] && name != names[len(names)-1] {
			return name
		}
	}
	return ""
}

// chat sends a request to an entry and returns the answer's head.
func (es *entries) chat(name string) *http.Response {
	es.t.Helper()
	response, err := chat(es.byName[name])
	assert.NilError(es.t, err)
	return response
}

// run sends requests to an entry until one runs, and returns a function that ends it.
func (es *entries) run(name string) (end func()) {
	es.t.Helper()
	var running *http.Response
	eventually(es.t, "a request runs at "+name, func() bool {
		response := es.chat(name)
		if response.StatusCode == http.StatusOK {
			running = response
			return true
		}
		_ = response.Body.Close()
		return false
	})
	return func() { _ = running.Body.Close() }
}

// assertRefused checks that an entry refuses a request of the account.
func (es *entries) assertRefused(name string) {
	es.t.Helper()
	response := es.chat(name)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(es.t, response.StatusCode, http.StatusTooManyRequests, "%s", name)
	assert.Assert(es.t, response.Header.Get("Retry-After") != "")
}

func TestOneRequestOfAnAccountRunsOverAllEntries(t *testing.T) {
	es := startEntries(t, "e1", "e2", "e3")
	for name := range es.byName {
		end := es.run(name)
		for other := range es.byName {
			es.assertRefused(other)
		}
		end()
	}
}

func TestPermitsOutliveARestartOfTheirLender(t *testing.T) {
	es := startEntries(t, "e1", "e2", "e3")
	lender := es.holder()
	borrower := es.other(lender)
	end := es.run(borrower)

	es.stop[lender]()
	es.start(lender)
	waitReady(t, es.byName[lender])
	third := es.other(lender, borrower)
	es.assertRefused(lender)
	es.waitHeldKnown(lender)
	es.assertRefused(lender)
	es.assertRefused(third)
	end()
	es.run(lender)()
	es.run(third)()
}

func TestPermitOfAnEntryThatEndsIsLentAgain(t *testing.T) {
	es := startEntries(t, "e1", "e2", "e3")
	lender := es.holder()
	borrower := es.other(lender)
	es.waitHeldKnown(lender)
	// The process ends without giving the permit back.
	loan := es.byName[borrower].limits.Borrow(lender, "t/a")
	subject, found := es.byName[lender].permits.subject("t/a")
	assert.Assert(t, found)
	assert.Assert(t, es.byName[lender].limits.Lend(time.Now(), borrower, loan.ID, subject))
	es.assertRefused(lender)
	es.stop[borrower]()
	es.assertRefused(lender)
	es.start(borrower)
	es.run(lender)()
}

// A peer that accepts connections and never answers.
func TestRequestIsRefusedInTimeWhenLendersDoNotAnswer(t *testing.T) {
	es := startEntries(t, "e1", "e2", "e3")
	lender := es.holder()
	es.run(es.other(lender))()
	es.stop[lender]()
	listener, err := net.Listen("tcp", es.byName[lender].PeersAddr())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	start := time.Now()
	es.assertRefused(es.other(lender))
	assert.Assert(t, time.Since(start) < sendTimeout, "%s", time.Since(start))
}

// The peers count before the first request comes, not once the exchange with them runs.
func TestEntryHasOnlyItsShareBeforeItRuns(t *testing.T) {
	s := newTestSystem(t)
	cfg := Config{
		Name: "e1", FailureDomain: "d", Platform: s.platform,
		CallersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0", PeersListen: "127.0.0.1:0",
		Peers: []settingssync.Peer{{Name: "e2", Addr: "127.0.0.1:1", FailureDomain: "d"}},
	}
	assert.Equal(t, len(Check(&cfg)), 0)
	e, err := New(cfg)
	assert.NilError(t, err)
	defer func() { _, _, _ = e.callers.Close(), e.operators.Close(), e.peers.Close() }()
	admitted := 0
	for range 40 {
		if _, refusal := e.limits.Admit(time.Now(), limits.Subject{Name: "t", Limits: limits.Amounts{limits.Concurrent: 40}}, limits.Subject{}, limits.Subject{}); refusal == nil {
			admitted++
		}
	}
	assert.Equal(t, admitted, 20)
}

// Shares follow demand only if reports name the newest one that they take into account.
func TestConcurrencyLimitFollowsDemandAndHoldsOverEntries(t *testing.T) {
	const limit = 40
	es := startEntries(t, "e1", "e2")
	subject := limits.Subject{Name: "x", Limits: limits.Amounts{limits.Concurrent: limit}}
	fill := func(name string) (admitted int) {
		for {
			if _, refusal := es.byName[name].limits.Admit(time.Now(), subject, limits.Subject{}, limits.Subject{}); refusal != nil {
				return admitted
			}
			admitted++
		}
	}
	first, second := 0, 0
	eventually(t, "most of the limit is at e1", func() bool {
		first += fill("e1")
		return first > limit*3/4
	})
	eventually(t, "e2 has the rest", func() bool {
		second += fill("e2")
		return first+second >= limit
	})
	assert.Equal(t, first+second, limit)
}
