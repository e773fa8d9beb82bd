package claims

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// step is one op of an incarnation in a test sequence.
type step struct {
	incarnation string
	op          Op
}

func claim(incarnation string) step {
	return step{incarnation, Op{Kind: KindClaim, Key: Key{1}, Serial: 1}}
}

func release(incarnation string, serial int64) step {
	return step{incarnation, Op{Kind: KindRelease, Key: Key{1}, Serial: serial}}
}

func answer(status int) step {
	return step{"a", Op{Kind: KindAnswer, Key: Key{1}, Serial: 1, Answer: &Answer{Status: status}}}
}

func replicaOf(steps ...step) *Replica {
	r := NewReplica(0)
	for i, s := range steps {
		r.Apply(int64(i), Batch{Target: s.incarnation, Incarnation: s.incarnation, StampMS: int64(i), Ops: []Op{s.op}})
	}
	return r
}

func TestClaimRules(t *testing.T) {
	cases := map[string]struct {
		steps  []step
		phase  Phase
		owner  string
		status int
	}{
		"first claim wins":                          {[]step{claim("a"), claim("b")}, Claimed, "a", 0},
		"release frees the key":                     {[]step{claim("a"), release("a", 1)}, Free, "", 0},
		"late claim after release is void":          {[]step{release("a", 1), claim("a")}, Free, "", 0},
		"late claim does not hold others up":        {[]step{release("a", 1), claim("a"), claim("b")}, Claimed, "b", 0},
		"losing claim does not win after a release": {[]step{claim("a"), claim("b"), release("a", 1)}, Free, "", 0},
		"release by another has no effect":          {[]step{claim("a"), release("b", 1)}, Claimed, "a", 0},
		"release by another serial":                 {[]step{claim("a"), release("a", 2)}, Claimed, "a", 0},
		"first answer stands":                       {[]step{claim("a"), answer(200), answer(500)}, Answered, "a", 200},
		"release after the answer is late":          {[]step{claim("a"), answer(200), release("a", 1)}, Answered, "a", 200},
		"answer of an unseen claim":                 {[]step{claim("b"), answer(200), release("b", 1)}, Answered, "a", 200},
		"repeated claim of an answered key":         {[]step{claim("a"), answer(200), claim("a")}, Answered, "a", 200},
		"repeated claim after its release is void":  {[]step{claim("a"), release("a", 1), claim("a")}, Free, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			state := replicaOf(c.steps...).Lookup(Key{1})
			assert.Equal(t, state.Phase, c.phase)
			if c.phase != Free {
				assert.Equal(t, state.Owner.Incarnation, c.owner)
			}
			if c.status != 0 {
				assert.Equal(t, state.Answer.Status, c.status)
			}
		})
	}
}

func TestWithdrawnClaimThatWinsReleasesItsKey(t *testing.T) {
	c := NewClaimant("a", NewReplica(0))
	id, op := c.Begin(Key{1}, Fingerprint{})
	_, ok := c.Withdraw(id)
	assert.Assert(t, ok)
	_, releases := c.Apply(0, Batch{Incarnation: "a", Ops: []Op{op}})
	assert.DeepEqual(t, releases, []Op{releaseOp(id, Key{1})})
	assert.Assert(t, !c.Start(id))
}

func TestOwnerIsGoneOnceItsTargetHasRestarted(t *testing.T) {
	r := NewReplica(0)
	r.Apply(0, Batch{Target: "t", Incarnation: "a", Start: true})
	r.Apply(1, Batch{Target: "t", Incarnation: "a", Ops: []Op{claim("a").op}})
	assert.Assert(t, !r.Lookup(Key{1}).OwnerGone)
	touched := r.Apply(2, Batch{Target: "t", Incarnation: "b", Start: true})
	assert.DeepEqual(t, touched, []Key{{1}})
	assert.Assert(t, r.Lookup(Key{1}).OwnerGone)
	r.Apply(3, Batch{Target: "t", Incarnation: "a", Start: true}) // arrives late
	assert.Assert(t, r.Lookup(Key{1}).OwnerGone)
}

func TestExpiredRecordsLeaveNoState(t *testing.T) {
	r := replicaOf(claim("a"), answer(200), release("b", 7))
	r.DropAnswers(2)
	assert.Assert(t, r.Lookup(Key{1}).Answer.Dropped)
	r.Expire(1)
	assert.Equal(t, r.Lookup(Key{1}).Phase, Answered)
	r.Expire(3)
	assert.Equal(t, r.Len(), 0)
	assert.Equal(t, len(r.released), 0)
	assert.Equal(t, len(r.changes), 0)
	assert.Equal(t, r.ExpiredUntilMS(), int64(2))
}

func TestUndecidedClaimDoesNotWinAnExpiredKey(t *testing.T) {
	c := NewClaimant("a", NewReplica(0))
	id, op := c.Begin(Key{1}, Fingerprint{}) // its append is late
	c.Apply(0, Batch{Incarnation: "b", Ops: []Op{claim("b").op}})
	assert.Equal(t, len(c.Expire(0)), 0)
	assert.DeepEqual(t, c.Expire(1), []Op{releaseOp(id, Key{1})})
	c.Apply(1, Batch{Incarnation: "a", Ops: []Op{op}})
	assert.Assert(t, !c.Start(id))
}

func TestRunIsKnownAfterItsClaimExpired(t *testing.T) {
	c := NewClaimant("a", NewReplica(0))
	id, op := c.Begin(Key{1}, Fingerprint{})
	c.Apply(0, Batch{Incarnation: "a", Ops: []Op{op}})
	assert.Assert(t, c.Start(id))
	c.Reset(50)
	assert.Equal(t, c.Lookup(Key{1}).Phase, Claimed)
	c.Finish(id, &Answer{Status: 201})
	assert.Equal(t, c.Lookup(Key{1}).Answer.Status, 201)
}

func TestAgeOfKeys(t *testing.T) {
	const key = "01890a5d-ac96-774b-bcce-b302099a8057" // RFC 9562, version 7
	made, ok := KeyTime(key)
	assert.Assert(t, ok)
	cases := map[string]struct {
		key          string
		now          time.Time
		expiredUntil time.Time
		want         AgeVerdict
	}{
		"fresh":                 {key, made, time.UnixMilli(0), AgeOK},
		"at the window's end":   {key, made.Add(time.Hour), time.UnixMilli(0), AgeOK},
		"older":                 {key, made.Add(time.Hour + time.Millisecond), time.UnixMilli(0), TooOld},
		"clock behind":          {key, made.Add(-MaxClockSkew), time.UnixMilli(0), AgeOK},
		"made in the future":    {key, made.Add(-MaxClockSkew - time.Millisecond), time.UnixMilli(0), FromFuture},
		"its records expired":   {key, made, made.Add(-MaxClockSkew), TooOld},
		"no age (version 4)":    {"919108f7-52d1-4320-9bac-f847db4148a8", made.Add(9 * time.Hour), made, AgeOK},
		"no age (another form)": {"cert-42", made.Add(9 * time.Hour), made, AgeOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, CheckAge(c.key, c.now, time.Hour, c.expiredUntil.UnixMilli()), c.want)
		})
	}
}

func FuzzDecodeBatch(f *testing.F) {
	good, err := Batch{Target: "t", Incarnation: "a", Ops: []Op{claim("a").op, answer(200).op}}.Encode()
	assert.NilError(f, err)
	f.Add(good)
	f.Add([]byte(`{"incarnation":"a","ops":[{"kind":"claim","key":"00"}]}`))
	f.Add([]byte(`{"ops":[{"kind":"answer"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := DecodeBatch(data)
		if err != nil {
			return
		}
		replica := NewReplica(0)
		replica.Apply(0, batch)
		for _, op := range batch.Ops {
			replica.Lookup(op.Key)
		}
		replica.Expire(1)
		assert.Equal(t, replica.Len(), 0)
	})
}
