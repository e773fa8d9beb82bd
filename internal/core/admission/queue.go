package admission

import "time"

// Request describes a request to the controller.
type Request struct {
	ID       uint64
	Urgency  int // larger is more urgent
	Team     string
	Account  string
	Share    float64 // weight of the team
	Deadline time.Time
	Suspect  bool // suspected of crashing targets: runs alone on the target
}

// queue orders waiting requests by urgency, then by weighted fair queueing among
// teams, then by fair queueing among the accounts of a team, then by arrival.
type queue struct {
	levels map[int]*urgencyQueue
	size   int
}

// urgencyQueue holds the waiting requests of one urgency. The virtual times, here
// and in teamQueue and accountQueue, measure the service received, as in start-time
// fair queueing.
type urgencyQueue struct {
	teams       map[string]*teamQueue
	virtualTime float64
	size        int
}

type teamQueue struct {
	accounts    map[string]*accountQueue
	virtualTime float64
	size        int
}

type accountQueue struct {
	waiting     []Request
	virtualTime float64
}

func newQueue() *queue { return &queue{levels: make(map[int]*urgencyQueue)} }

func (q *queue) push(r Request) {
	l, ok := q.levels[r.Urgency]
	if !ok {
		l = &urgencyQueue{teams: make(map[string]*teamQueue)}
		q.levels[r.Urgency] = l
	}
	t, ok := l.teams[r.Team]
	if !ok {
		t = &teamQueue{accounts: make(map[string]*accountQueue), virtualTime: l.virtualTime}
		l.teams[r.Team] = t
	}
	a, ok := t.accounts[r.Account]
	if !ok {
		a = &accountQueue{virtualTime: t.minVirtualTime()}
		t.accounts[r.Account] = a
	}
	a.waiting = append(a.waiting, r)
	q.size++
	l.size++
	t.size++
}

// minVirtualTime is the lowest virtual time among the team's accounts, at which a
// new account starts.
func (t *teamQueue) minVirtualTime() float64 {
	if a := t.next(anyRequest); a != nil {
		return a.virtualTime
	}
	return 0
}

// filter reports whether a request may start.
type filter func(Request) bool

func anyRequest(Request) bool { return true }

// pop removes and returns the request that runs next among the eligible ones.
func (q *queue) pop(eligible filter) (Request, bool) {
	l := q.mostUrgent(eligible)
	if l == nil {
		return Request{}, false
	}
	t := l.next(eligible)
	a := t.next(eligible)
	first := a.waiting[0]
	l.virtualTime = t.virtualTime
	t.virtualTime += 1 / max(first.Share, minShare)
	a.virtualTime++
	q.remove(first)
	return first, true
}

// minShare replaces smaller shares, so that a team without a share is served too.
const minShare = 1e-3

// mostUrgent returns the most urgent queue with an eligible request, or nil.
func (q *queue) mostUrgent(eligible filter) *urgencyQueue {
	var found *urgencyQueue
	best := 0
	for urgency, l := range q.levels {
		if (found == nil || urgency > best) && l.next(eligible) != nil {
			found, best = l, urgency
		}
	}
	return found
}

// next returns the team with an eligible request that has received the least
// service in relation to its share, or nil.
func (l *urgencyQueue) next(eligible filter) *teamQueue {
	var name string
	var found *teamQueue
	for n, t := range l.teams {
		if t.next(eligible) == nil {
			continue
		}
		if found == nil || t.virtualTime < found.virtualTime || t.virtualTime == found.virtualTime && n < name {
			name, found = n, t
		}
	}
	return found
}

// next returns the account with an eligible request that has received the least
// service, or nil.
func (t *teamQueue) next(eligible filter) *accountQueue {
	var name string
	var found *accountQueue
	for n, a := range t.accounts {
		if !eligible(a.waiting[0]) {
			continue
		}
		if found == nil || a.virtualTime < found.virtualTime || a.virtualTime == found.virtualTime && n < name {
			name, found = n, a
		}
	}
	return found
}

// remove removes a request and reports whether it was waiting.
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

func (a *accountQueue) remove(id uint64) bool {
	for i := range a.waiting {
		if a.waiting[i].ID == id {
			a.waiting = append(a.waiting[:i:i], a.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// victim returns the request that is removed from a full queue in favour of r: the
// newest request of the account with the most waiting, among the least urgent. It
// must be less urgent than r, or its account must have more requests waiting than
// r's account would have with r.
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
	var newest Request
	for _, t := range l.teams {
		for _, a := range t.accounts {
			last := a.waiting[len(a.waiting)-1]
			if len(a.waiting) > len(longest) || len(a.waiting) == len(longest) && last.ID > newest.ID {
				longest, newest = a.waiting, last
			}
		}
	}
	if lowest == r.Urgency && len(longest) <= q.accountLength(r)+1 {
		return Request{}, false
	}
	return newest, true
}

// accountLength returns how many requests of r's urgency and account wait.
func (q *queue) accountLength(r Request) int {
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
