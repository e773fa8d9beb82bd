package poison

import "time"

// maxAnswered is the number of parts after which the older half of an answers is
// forgotten.
const maxAnswered = 4096

// answers remembers when requests with a part were last answered, for parts that another
// gateway reports as under a crash afterwards.
type answers struct {
	recent, old map[string]time.Time
}

func newAnswers() answers { return answers{recent: make(map[string]time.Time)} }

func (a *answers) record(part string, now time.Time) {
	if len(a.recent) >= maxAnswered {
		a.old, a.recent = a.recent, make(map[string]time.Time)
	}
	a.recent[part] = now
}

// latest returns when a request with the part was last answered, the zero time if it is not
// known to have been.
func (a *answers) latest(part string) time.Time {
	answered, ok := a.recent[part]
	if !ok {
		answered = a.old[part]
	}
	return answered
}

// after reports whether a request with the part was answered after a time.
func (a *answers) after(part string, at time.Time) bool { return a.latest(part).After(at) }
