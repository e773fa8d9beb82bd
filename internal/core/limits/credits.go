package limits

import (
	"time"

	"quetzalbend/internal/core/schema"
)

// creditsBurstTime bounds how many unused tokens may be saved up for batch work that
// has to wait for interactive work: as many as the pace allows in this time.
const creditsBurstTime = 6 * time.Hour

// CreditsSubject returns the subject that paces a team's batch work. Tokens of all
// classes are charged to it, and batch work is refused while the team uses tokens
// faster than its pace: the rate at which its credits last until they expire.
// Without credits, or once they have expired, the subject has no limits.
func CreditsSubject(team string, credits *schema.Credits, class schema.Class, now time.Time) Subject {
	subject := Subject{Name: team + "/", BurstTime: creditsBurstTime, ChargeOnly: class != schema.Batch}
	if credits == nil {
		return subject
	}
	asOf, err := time.Parse(time.RFC3339, credits.AsOf)
	if err != nil {
		return subject
	}
	expires, err := time.Parse(time.RFC3339, credits.Expires)
	if err != nil || !now.Before(expires) {
		return subject
	}
	subject.Limits[Tokens] = max(float64(credits.Tokens), 1) / expires.Sub(asOf).Seconds()
	return subject
}
