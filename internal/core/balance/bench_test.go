package balance

import (
	"math"
	"math/rand/v2"
	"testing"
)

// BenchmarkPlan plans one layer of 256 ranks and 256 experts whose load has
// drifted by about 10 percent.
func BenchmarkPlan(b *testing.B) {
	r := rand.New(rand.NewPCG(1, 1))
	loads, speeds := lognormal(r, 256), ones(256)
	shape, err := EvenShape(256, 256, 512)
	if err != nil {
		b.Fatal(err)
	}
	current := Pack(shape, loads, speeds).Placement
	for e := range loads {
		loads[e] *= math.Exp(0.1 * r.NormFloat64())
	}
	p := NewPlanner(DefaultConfig(), shape, loads, speeds)
	for b.Loop() {
		p.Plan(current, 40)
	}
}
