package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"quetzalbend/internal/adapter/callerhttp"
	"quetzalbend/internal/core/catalog"
	"quetzalbend/internal/core/limits"
	"quetzalbend/internal/core/schema"
)

func TestFullTargetsOfOneModelDoNotHoldBackAnother(t *testing.T) {
	l := newLimiter(limits.New(limits.Config{}))
	cat := &catalog.Catalog{Teams: map[string]schema.Team{"red": {Share: 1}}}
	account := &catalog.Account{Name: "x", Team: "red"}
	full := callerhttp.Demand{Kind: schema.ModelTarget, Name: "full", Class: schema.Interactive}
	free := callerhttp.Demand{Kind: schema.ModelTarget, Name: "free", Class: schema.Interactive}

	_, refusal := l.Admit(cat, account, full)
	assert.Assert(t, refusal == nil)
	admitOtherAccount(t, l, cat, full)
	release, _ := l.Admit(cat, account, full)
	release(callerhttp.Outcome{Code: "target_busy"})
	var code string
	for range 20 {
		if _, refusal := l.Admit(cat, account, full); refusal != nil {
			code = refusal.Code
		}
		_, refusal := l.Admit(cat, account, free)
		assert.Assert(t, refusal == nil)
	}
	assert.Equal(t, code, string(limits.CodeFairShare))
}

// admitOtherAccount admits a request of another account, since an account that is
// alone is not held back.
func admitOtherAccount(t *testing.T, l *limiter, cat *catalog.Catalog, demand callerhttp.Demand) {
	t.Helper()
	_, refusal := l.Admit(cat, &catalog.Account{Name: "y", Team: "red"}, demand)
	assert.Assert(t, refusal == nil)
}

func TestRequestRefusedByGateDoesNotUseUpLimit(t *testing.T) {
	l := newLimiter(limits.New(limits.Config{}))
	cat := &catalog.Catalog{Teams: map[string]schema.Team{"red": {Share: 1}}}
	account := &catalog.Account{Name: "x", Team: "red", Account: schema.Account{Limits: schema.Limits{Concurrent: 30, RequestsPerSecond: 30}}}
	demand := callerhttp.Demand{Kind: schema.ModelTarget, Name: "m", Class: schema.Interactive}
	admitOtherAccount(t, l, cat, demand)
	release, _ := l.Admit(cat, account, demand)
	release(callerhttp.Outcome{Code: "target_busy"})
	for range 100 {
		if _, refusal := l.Admit(cat, account, demand); refusal != nil {
			assert.Equal(t, refusal.Code, string(limits.CodeFairShare))
		}
	}
}
