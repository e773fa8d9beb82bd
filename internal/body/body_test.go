package body

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/core/memory"
)

func TestBodyIsReadWholeWhateverItsLength(t *testing.T) {
	for _, size := range []int{0, 1, FirstBytes - 1, FirstBytes, FirstBytes + 1, 100_000, 200_000} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			body, err := Read(iotest.OneByteReader(strings.NewReader(text)), length, 200_000, memory.NewBudget(0).Reserve())
			assert.NilError(t, err)
			assert.Equal(t, string(body), text)
		}
	}
	_, err := Read(iotest.ErrReader(io.ErrUnexpectedEOF), 10, 10, memory.NewBudget(0).Reserve())
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestBodyHoldsNoMoreThanHasComeOfItsLength(t *testing.T) {
	const length, sent = 1 << 30, 100_000
	budget := memory.NewBudget(0)
	reserved := budget.Reserve()
	from := io.MultiReader(strings.NewReader(strings.Repeat("x", sent)), iotest.ErrReader(io.ErrUnexpectedEOF))
	_, err := Read(from, length, length, reserved)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	assert.Assert(t, budget.Used() <= growthFactor*sent+FirstBytes, "%d bytes", budget.Used())
	reserved.Release()
	assert.Equal(t, budget.Used(), int64(0))
}

func TestBodyOfItsLimitTakesNoMoreThanTheLimit(t *testing.T) {
	const limit = 1 << 20
	budget := memory.NewBudget(0)
	text := strings.Repeat("x", limit)
	whole, err := Read(strings.NewReader(text), -1, limit, budget.Reserve())
	assert.NilError(t, err)
	assert.Equal(t, string(whole), text)
	assert.Equal(t, budget.Used(), int64(limit))
}

func TestBodyWithoutMemoryIsNotReadOn(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	reserved := budget.Reserve()
	_, err := Read(iotest.ErrReader(io.ErrUnexpectedEOF), 1<<20, 1<<20, reserved)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	_, err = Read(strings.NewReader(strings.Repeat("x", 1<<20)), -1, 1<<20, budget.Reserve())
	assert.Assert(t, errors.Is(err, ErrNoMemory))
	assert.Assert(t, budget.Used() < 1<<19)
}
