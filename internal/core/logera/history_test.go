package logera

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var now = time.Unix(1000, 0)

func TestRecordsThatWereNotReadAgainAreMissingInTheirOrder(t *testing.T) {
	var h History
	for _, data := range []string{"a", "b", "c"} {
		h.Remember([]byte(data), now)
	}
	assert.Equal(t, len(h.Missing()), 0)
	h.BeginEra()
	h.Remember([]byte("b"), now)
	assert.DeepEqual(t, h.Missing(), [][]byte{[]byte("a"), []byte("c")})
	h.BeginEra()
	h.Remember([]byte("a"), now)
	assert.DeepEqual(t, h.Missing(), [][]byte{[]byte("b"), []byte("c")})
	h.Forget()
	assert.Equal(t, len(h.Missing()), 0)
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for range maxRecords + 10 {
		h.Remember([]byte("a"), now)
	}
	assert.Equal(t, h.Len(), maxRecords)
	h.Remember([]byte("b"), now.Add(maxAge+time.Second))
	assert.Equal(t, h.Len(), 1)
}

// Large records could take more memory than a process may have.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	var h History
	large := make([]byte, maxBytes/4)
	for range 10 {
		h.Remember(large, now)
	}
	assert.Equal(t, h.Len(), 4)
}
