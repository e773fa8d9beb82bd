package ranks

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"quetzalbend/internal/core/balance"
)

const (
	reportEverySteps = 20
	reportLagSteps   = 20
	reportNoise      = 0.02 // relative standard deviation
)

// shiftingLoad is a load whose expert popularity changes every Config.ShiftSteps
// steps.
type shiftingLoad struct {
	config Config
	shape  balance.Shape
	speeds []float64

	lock  sync.Mutex
	phase int64
	loads [][]float64 // in the current phase, by layer and expert
}

// newShiftingLoad returns the load of a group that Run serves. All ranks have the
// same speed.
func newShiftingLoad(config Config, shape balance.Shape) Load {
	s := &shiftingLoad{config: config, shape: shape, phase: -1, speeds: slices.Repeat([]float64{1}, config.Ranks)}
	return Load{
		Shape:  shape,
		At:     s.loadAt,
		Lag:    reportLagSteps,
		Every:  reportEverySteps,
		Noise:  reportNoise,
		Random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

func (s *shiftingLoad) loadAt(step int64) (loads [][]float64, speeds []float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if phase := step / s.config.ShiftSteps; phase != s.phase {
		s.phase = phase
		s.loads = s.popularity(phase)
	}
	return s.loads, s.speeds
}

// popularity returns the loads of a phase by layer and expert. They are
// log-normally distributed over the experts, with mean 1 in each layer.
func (s *shiftingLoad) popularity(phase int64) [][]float64 {
	random := rand.New(rand.NewPCG(s.config.Seed, uint64(phase)+1))
	loads := make([][]float64, s.config.Layers)
	for l := range loads {
		loads[l] = make([]float64, s.config.Experts)
		sum := 0.0
		for e := range loads[l] {
			loads[l][e] = math.Exp(random.NormFloat64())
			sum += loads[l][e]
		}
		for e := range loads[l] {
			loads[l][e] *= float64(s.config.Experts) / sum
		}
	}
	return loads
}
