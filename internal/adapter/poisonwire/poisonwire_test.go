package poisonwire

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/poison"
	"quetzalbend/internal/wire"
)

var now = time.Unix(1000, 0)

func TestRecordWithoutEvidenceIsIgnored(t *testing.T) {
	table := poison.NewTable()
	table.Merge(Decode([]*wire.PartCrashes{(&wire.StoredPart{}).GetEvidence()}, now), now)
	assert.Equal(t, len(table.NotAllowed(now)), 0)
}

// Targets may crash after the trials at which a part was refused, at gateways that were
// not told.
func TestReceiverReachesTheSendersVerdictWhateverCrashedSince(t *testing.T) {
	sender, receiver := poison.NewTable(), poison.NewTable()
	at := now
	for target := range uint64(12) {
		loss := poison.Loss{Parts: []string{"p"}}
		if target < 2 {
			loss.Blamed = loss.Parts
		}
		sender.RecordCrash([]poison.Loss{loss}, target, at)
		at = at.Add(2 * time.Second)
	}
	assert.Equal(t, sender.Verdict("p", at), poison.Refused)
	receiver.Merge(Decode(Encode(sender.NotAllowed(at), at), at), at)
	assert.Equal(t, receiver.Verdict("p", at), poison.Refused)
}
