package admission

import "time"

// Request is what admission needs to know of a request.
type Request struct {
	ID       uint64
	Urgency  int // larger is more urgent
	Team     string
	Account  string
	Share    float64 // weight of the team
	Deadline time.Time
	Suspect  bool // runs alone on the target
}

// queue orders waiting requests: by urgency, then fairly by the shares of
// teams, then fairly by accounts, then in order of arrival.
type queue struct {
	levels map[int]*level
	size   int
}

// level is the waiting requests of one urgency. Its clock and those of teams
// and accounts count service given, as in start-time fair queueing.
type level struct {
	teams map[string]*team
	clock float64
	size  int
}

type team struct {
	accounts map[string]*account
	clock    float64
	size     int
}

type account struct {
	waiting []Request
	clock   float64
}

func newQueue() *queue { return &queue{levels: make(map[int]*level)} }

func (q *queue) push(r Request) {
	l, ok := q.levels[r.Urgency]
	if !ok {
		l = &level{teams: make(map[string]*team)}
		q.levels[r.Urgency] = l
	}
	t, ok := l.teams[r.Team]
	if !ok {
		t = &team{accounts: make(map[string]*account), clock: l.clock}
		l.teams[r.Team] = t
	}
	a, ok := t.accounts[r.Account]
	if !ok {
		a = &account{clock: t.nextClock()}
		t.accounts[r.Account] = a
	}
	a.waiting = append(a.waiting, r)
	q.size++
	l.size++
	t.size++
}

// nextClock is the least clock of the team's accounts: where a new one starts.
func (t *team) nextClock() float64 {
	if a := t.next(anyRequest); a != nil {
		return a.clock
	}
	return 0
}

// filter tells which requests may start.
type filter func(Request) bool

func anyRequest(Request) bool { return true }

// pop takes out the request that runs next of those that may start.
func (q *queue) pop(may filter) (Request, bool) {
	l := q.mostUrgent(may)
	if l == nil {
		return Request{}, false
	}
	t := l.next(may)
	a := t.next(may)
	first := a.waiting[0]
	l.clock = t.clock
	t.clock += 1 / max(first.Share, minShare)
	a.clock++
	q.remove(first)
	return first, true
}

// minShare keeps a team without a share from waiting for ever.
const minShare = 1e-3

func (q *queue) mostUrgent(may filter) *level {
	var found *level
	best := 0
	for urgency, l := range q.levels {
		if (found == nil || urgency > best) && l.next(may) != nil {
			found, best = l, urgency
		}
	}
	return found
}

// next returns the team that has had least service for its share.
func (l *level) next(may filter) *team {
	var name string
	var found *team
	for n, t := range l.teams {
		if t.next(may) == nil {
			continue
		}
		if found == nil || t.clock < found.clock || t.clock == found.clock && n < name {
			name, found = n, t
		}
	}
	return found
}

// next returns the account that has had least service.
func (t *team) next(may filter) *account {
	var name string
	var found *account
	for n, a := range t.accounts {
		if !may(a.waiting[0]) {
			continue
		}
		if found == nil || a.clock < found.clock || a.clock == found.clock && n < name {
			name, found = n, a
		}
	}
	return found
}

// remove takes a request out and reports whether it was waiting.
func (q *queue) remove(r Request) bool {
	l, ok := q.levels[r.Urgency]
	if !ok {
		return false
	}
	t, ok := l.teams[r.Team]
	if !ok {
		return false
	}
	a, ok := t.accounts[r.Account]
	if !ok || !a.remove(r.ID) {
		return false
	}
	q.size--
	l.size--
	t.size--
	if len(a.waiting) == 0 {
		delete(t.accounts, r.Account)
	}
	if t.size == 0 {
		delete(l.teams, r.Team)
	}
	if l.size == 0 {
		delete(q.levels, r.Urgency)
	}
	return true
}

func (a *account) remove(id uint64) bool {
	for i := range a.waiting {
		if a.waiting[i].ID == id {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// victim returns the request that gives way to r in a full queue: the newest
// of the account with most waiting, among the least urgent. It must be less
// urgent than r, or its account must have more waiting than r's would.
func (q *queue) victim(r Request) (Request, bool) {
	lowest := r.Urgency
	for urgency := range q.levels {
		lowest = min(lowest, urgency)
	}
	l, ok := q.levels[lowest]
	if !ok {
		return Request{}, false
	}
	var longest []Request
	var owner Request
	for _, t := range l.teams {
		for _, a := range t.accounts {
			last := a.waiting[len(a.waiting)-1]
			if len(a.waiting) > len(longest) || len(a.waiting) == len(longest) && last.ID > owner.ID {
				longest, owner = a.waiting, last
			}
		}
	}
	if lowest == r.Urgency && len(longest) <= q.waitingOf(r)+1 {
		return Request{}, false
	}
	return owner, true
}

func (q *queue) waitingOf(r Request) int {
	l, ok := q.levels[r.Urgency]
	if !ok {
		return 0
	}
	t, ok := l.teams[r.Team]
	if !ok {
		return 0
	}
	a, ok := t.accounts[r.Account]
	if !ok {
		return 0
	}
	return len(a.waiting)
}

// each calls f for every waiting request.
func (q *queue) each(f func(Request)) {
	for _, l := range q.levels {
		for _, t := range l.teams {
			for _, a := range t.accounts {
				for _, r := range a.waiting {
					f(r)
				}
			}
		}
	}
}
