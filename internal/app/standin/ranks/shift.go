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

// shifting is a load whose expert popularity changes every so many steps.
type shifting struct {
	config Config
	shape  balance.Shape
	speeds []float64

	lock  sync.Mutex
	phase int64
	loads [][]float64 // of the phase, by layer and expert
}

// newShiftingLoad returns the load of a group that is started by its
// configuration. All ranks are equally fast.
func newShiftingLoad(config Config, shape balance.Shape) Load {
	s := &shifting{config: config, shape: shape, phase: -1, speeds: slices.Repeat([]float64{1}, config.Ranks)}
	return Load{
		Shape:  shape,
		At:     s.at,
		Lag:    reportLagSteps,
		Every:  reportEverySteps,
		Noise:  reportNoise,
		Random: rand.New(rand.NewPCG(config.Seed, 0)),
	}
}

func (s *shifting) at(step int64) (loads [][]float64, speeds []float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if phase := step / s.config.ShiftSteps; phase != s.phase {
		s.phase = phase
		s.loads = s.popularity(phase)
	}
	return s.loads, s.speeds
}

// popularity is lognormal over the experts and of mean 1 in each layer.
func (s *shifting) popularity(phase int64) [][]float64 {
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
