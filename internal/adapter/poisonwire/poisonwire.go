// Package poisonwire encodes the evidence against parts of prompts for other processes.
// Times travel as ages, since clocks differ between VMs.
package poisonwire

import (
	"time"

	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/wire"
)

// maxCrashes is the number of crashes sent of a part, more than a verdict needs.
const maxCrashes = 6

// Encode encodes those crashes of each part that decide on it.
func Encode(evidence []poison.Evidence, now time.Time) []*wire.PartCrashes {
	encoded := make([]*wire.PartCrashes, 0, len(evidence))
	for _, e := range evidence {
		part := &wire.PartCrashes{Part: e.Part}
		for _, c := range e.Weightiest(maxCrashes) {
			part.Crashes = append(part.Crashes, &wire.PartCrash{Target: c.Target, AgeMs: now.Sub(c.At).Milliseconds(), Cleared: c.Cleared, Blamed: c.Blamed})
		}
		encoded = append(encoded, part)
	}
	return encoded
}

// Decode decodes evidence that another process sent just now.
func Decode(crashes []*wire.PartCrashes, now time.Time) []poison.Evidence {
	evidence := make([]poison.Evidence, 0, len(crashes))
	for _, part := range crashes {
		e := poison.Evidence{Part: part.GetPart()}
		for _, c := range part.GetCrashes() {
			at := now.Add(-time.Duration(max(c.AgeMs, 0)) * time.Millisecond)
			e.Crashes = append(e.Crashes, poison.Crash{Target: c.Target, At: at, Cleared: c.Cleared, Blamed: c.Blamed})
		}
		evidence = append(evidence, e)
	}
	return evidence
}
