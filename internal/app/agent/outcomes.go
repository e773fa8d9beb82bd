package agent

import "sync"

// rememberedRefusals is how many refused calls an agent remembers.
const rememberedRefusals = 4096

// outcomes records which calls are being served and which were refused recently,
// for entries that lost the connection and ask for the outcome.
type outcomes struct {
	lock    sync.Mutex
	serving map[string]int
	refused map[string]bool
	order   []string // keys of refused, oldest first
}

func newOutcomes() *outcomes {
	return &outcomes{serving: make(map[string]int), refused: make(map[string]bool)}
}

func (o *outcomes) begin(requestID string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.serving[requestID]++
	delete(o.refused, requestID)
}

// end records that a call has ended, and whether it certainly did not run.
func (o *outcomes) end(requestID string, notRun bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.serving[requestID]--
	if o.serving[requestID] <= 0 {
		delete(o.serving, requestID)
	}
	if !notRun || o.refused[requestID] {
		return
	}
	o.refused[requestID] = true
	o.order = append(o.order, requestID)
	if len(o.order) > rememberedRefusals {
		delete(o.refused, o.order[0])
		o.order = o.order[1:]
	}
}

// ask reports whether a call is being served, and whether it is known not to
// have run.
func (o *outcomes) ask(requestID string) (serving, notRun bool) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.serving[requestID] > 0, o.refused[requestID]
}
