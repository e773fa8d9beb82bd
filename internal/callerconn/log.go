package callerconn

import (
	"sync"
	"time"

	"quetzalbend/internal/eventlog"
)

// logInterval is the time between two lines about connections that were ended for the same
// reason: a crowd of clients must not crowd out the lines of requests.
const logInterval = time.Second

// Log returns a function for Bounds.Ended that logs which connections of a listener were ended.
func Log(log *eventlog.Log, listener string) func(reason Reason, peer string) {
	var mu sync.Mutex
	logged := make(map[Reason]time.Time)
	unlogged := make(map[Reason]int)
	return func(reason Reason, peer string) {
		mu.Lock()
		defer mu.Unlock()
		unlogged[reason]++
		now := time.Now()
		if now.Sub(logged[reason]) < logInterval {
			return
		}
		log.Decision("connections ended", eventlog.Fields{
			"listener": listener, "reason": string(reason), "count": unlogged[reason], "last_peer": peer,
		})
		logged[reason], unlogged[reason] = now, 0
	}
}
