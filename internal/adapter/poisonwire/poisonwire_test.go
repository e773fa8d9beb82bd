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
