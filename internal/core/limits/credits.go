package limits

import (
	"time"

	"quetzalbend/internal/core/schema"
)

// creditSavings is how much of the pace may be saved up while interactive work
// leaves no room for batch work.
const creditSavings = 6 * time.Hour

// CreditsSubject returns the subject that paces a team's batch work: tokens of
// all classes are charged to it, and batch work waits while the team uses more
// than the pace at which its credits last until they expire. Without credits, or
// once they have expired, the subject has no limits.
func CreditsSubject(team string, credits *schema.Credits, class schema.Class, now time.Time) Subject {
	subject := Subject{Name: team + "/", BurstTime: creditSavings, ChargeOnly: class != schema.Batch}
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
