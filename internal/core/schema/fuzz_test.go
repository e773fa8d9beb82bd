package schema

import (
	"testing"

	"quetzalbend/internal/core/check"
)

// FuzzCheck looks for input that makes Check panic, for problems without a path
// or a wanted value, and for paths that Check accepts although ParsePath fails.
func FuzzCheck(f *testing.F) {
	f.Add("/domains/a", []byte(`{"state":"in"}`))
	f.Add("/targets/t", []byte(`{"agent":"[::1]:80","failure_domain":"a","serves":["m"],"cold_limit":3}`))
	f.Add("/groups/g", []byte(`{"ranks":["a","b"],"layers":1,"experts":2,"slots_per_rank":1}`))
	f.Add("/teams/t", []byte(`{"share":1e308,"credits":{"tokens":1,"expires":""}}`))
	f.Add("/teams/t/services/s", []byte(`{"routes":[{"method":"GET","path_prefix":"/"}]}`))
	f.Add("/teams/t/workloads/w", []byte("{\"model\":\"\xff\"}"))
	f.Add("/teams//models/", []byte(`[[[[[[[[[[[[[[[[[[`))
	f.Fuzz(func(t *testing.T, path string, value []byte) {
		for _, problem := range Check(path, value, nil) {
			if problem.Path != path || problem.Want == "" {
				t.Fatalf("problem without path or wanted value: %+v", problem)
			}
		}
		_, err := ParsePath(path)
		if err != nil && !check.Failed(Check(path, value, nil)) {
			t.Fatalf("path %q accepted", path)
		}
	})
}
