// model: claims
// twins: DROP_FIRST DROP_VOID DROP_OWNER DROP_ONCE DROP_WITHDRAW DROP_RUNNING DROP_VERDICT DROP_AGE DROP_REBASE DROP_EXPIRED
// compile: -DSAFETY -DCOLLAPSE
// run: -m1000000
//
// One key of a call that may not be repeated (internal/core/claims). Entries
// send the call and its repeats to either of two agents. An agent may pause at
// any point (its steps are simply not taken) and restart with empty memory.
// Appends land at any time, out of order, twice or never; whether the answer to
// an append came makes no difference to an agent, which only reads the log.
// Records expire once the key is older than its window.
//
// Properties (asserts): the call runs at most once; a request that was refused
// with "not run" has not run and never does; all answers given are the same.
// A key that is held by a withdrawn claim for good is an error too (see "end").

#define AGENTS  2
#define BUDGET  3 // claims, restarts and appends that land twice, all together
#ifndef RECORDS
#define RECORDS 4 // of the stream
#endif

// Kinds of op.
#define CLAIM   1
#define RELEASE 2
#define ANSWER  3

// Phases of the key in an agent's fold.
#define FREE     0
#define CLAIMED  1
#define ANSWERED 2

// Stages of a claim at its agent.
#define NONE    0
#define PENDING 1
#define WON     2
#define RUNNING 3
#define ENDED   4
#define OVER    5

#define BIT(n) (1 << (n))

// The platform's log.
byte kind[RECORDS];
byte about[RECORDS]; // claim that the record is about
byte records = 0;
byte oldest = 0;
byte flight[4];      // by kind: bits of the claims whose append is on its way

// Each agent's fold.
byte next[AGENTS];
byte phase[AGENTS];
byte owner[AGENTS];
byte touched[AGENTS];
byte released[AGENTS]; // bits of claims

// Claims, and the truth about them.
byte claims = 0;
byte stage[4];
byte claimant[4];
byte ran = 0;     // bits
byte refused = 0; // bits
byte runs = 0;
byte given = 0;   // claim whose answer callers were given
byte budget = BUDGET;

#define OWN(c) (claimant[c] == a)

inline send(k, c) { flight[k] = flight[k] | BIT(c) }

inline give(c) {
	assert(given == 0 || given == c);
	given = c
}

inline refuse(c) {
	refused = refused | BIT(c);
	assert((ran & BIT(c)) == 0)
}

// Claimant.Withdraw: gives a claim up before it runs.
inline withdraw(c) {
	refuse(c);
#ifndef DROP_WITHDRAW
	stage[c] = OVER;
#endif
	send(RELEASE, c)
}

// Fold.claim, Fold.release, Fold.answer.
inline fold(k, c) {
	if
#ifndef DROP_VOID
	:: k == CLAIM && (released[a] & BIT(c)) -> skip
	:: k == CLAIM && !(released[a] & BIT(c)) &&
#else
	:: k == CLAIM &&
#endif
#ifndef DROP_FIRST
	   phase[a] == FREE ->
#else
	   phase[a] != ANSWERED ->
#endif
		phase[a] = CLAIMED; owner[a] = c; touched[a] = next[a]
	:: k == RELEASE ->
		released[a] = released[a] | BIT(c);
		if
#ifndef DROP_OWNER
		:: phase[a] == CLAIMED && owner[a] == c -> phase[a] = FREE; owner[a] = 0
#else
		:: phase[a] == CLAIMED -> phase[a] = FREE; owner[a] = 0
#endif
		:: else
		fi
	:: k == ANSWER && phase[a] != ANSWERED ->
		phase[a] = ANSWERED; owner[a] = c; touched[a] = next[a]
	:: else
	fi
}

// Claimant.settle: the verdict on an own claim.
inline settle(k, c) {
	if
	:: k == CLAIM && OWN(c) && stage[c] == PENDING && phase[a] == CLAIMED && owner[a] == c -> stage[c] = WON
	:: k == CLAIM && OWN(c) && stage[c] == PENDING && !(phase[a] == CLAIMED && owner[a] == c) -> stage[c] = OVER
	:: k == CLAIM && OWN(c) && stage[c] == OVER && phase[a] == CLAIMED && owner[a] == c -> send(RELEASE, c)
	:: else
	fi
}

// A step of agent a about any of its own claims in the given stages.
#define MINE(n, in) claims >= n && claimant[n] == a && (in) -> c = n

#ifndef DROP_VERDICT
#define MAY_RUN(n) stage[n] == WON
#else
#define MAY_RUN(n) (stage[n] == WON || stage[n] == PENDING)
#endif

#ifndef DROP_RUNNING
#define MAY_WITHDRAW(n) (stage[n] == PENDING || stage[n] == WON)
#else
#define MAY_WITHDRAW(n) (stage[n] == PENDING || stage[n] == WON || stage[n] == RUNNING)
#endif

proctype agent(byte a) {
	byte c;
end:
	do
	// Log.Do, Log.refuseNew, CheckAge, Claimant.Begin: a request for a key
	// that nobody holds.
	:: atomic {
#ifndef DROP_AGE
		oldest == 0 &&
#endif
		budget > 0 && phase[a] == FREE && (claims > 0 || a == 0) ->
		budget--;
		claims++;
		claimant[claims] = a;
		stage[claims] = PENDING;
		send(CLAIM, claims)
	   }
	// Log.Do, replay: a repeat of an answered key.
	:: atomic { phase[a] == ANSWERED && given != owner[a] -> give(owner[a]) }
	// Log.take, Claimant.Apply: reads the next record.
	:: atomic {
		next[a] >= oldest && next[a] < records ->
		c = about[next[a]];
		fold(kind[next[a]], c);
		assert(phase[a] != CLAIMED || !(released[a] & BIT(owner[a])));
		settle(kind[next[a]], c);
		next[a]++;
		c = 0
	   }
	// Log.rebase, Claimant.Rebase: records expired that were not read.
	:: atomic {
		next[a] < oldest ->
		next[a] = oldest;
		phase[a] = FREE; owner[a] = 0; touched[a] = 0; released[a] = 0;
		c = 1;
		do
		:: c > claims -> break
		:: c <= claims ->
			if
#ifndef DROP_REBASE
			:: OWN(c) && (stage[c] == PENDING || stage[c] == WON) -> withdraw(c)
#endif
			:: else
			fi;
			c++
		od;
		c = 0
	   }
	// Claimant.Expire, Fold.Expire: forgets what has expired. A claim that is
	// not decided yet and would have lost is given up first.
	:: atomic {
		phase[a] != FREE && touched[a] < oldest && next[a] >= oldest ->
		c = 1;
		do
		:: c > claims -> break
		:: c <= claims ->
			if
#ifndef DROP_EXPIRED
			:: OWN(c) && stage[c] == PENDING -> withdraw(c)
#endif
			:: else
			fi;
			c++
		od;
		phase[a] = FREE; owner[a] = 0; touched[a] = 0;
		c = 0
	   }
	// Claimant.Start: the one run, or a connection that fails (Claimant.NotSent).
	:: atomic {
		if
		:: MINE(1, MAY_RUN(1))
		:: MINE(2, MAY_RUN(2))
		:: MINE(3, MAY_RUN(3))
		fi;
		if
		:: stage[c] = OVER; refuse(c); send(RELEASE, c)
		::
#ifndef DROP_ONCE
		   stage[c] = RUNNING;
#endif
		   runs++;
		   ran = ran | BIT(c);
		   assert(runs <= 1);
		   assert((refused & BIT(c)) == 0)
		fi;
		c = 0
	   }
	// Claimant.Finish. A run that never gets here has broken off without an
	// answer; to the others it is the same as one that is still on.
	:: atomic {
		if
		:: MINE(1, stage[1] == RUNNING)
		:: MINE(2, stage[2] == RUNNING)
		:: MINE(3, stage[3] == RUNNING)
		fi;
		stage[c] = ENDED;
		send(ANSWER, c);
		give(c);
		c = 0
	   }
	// Log.withdraw, Claimant.Withdraw: timeout, or the caller has gone.
	:: atomic {
		if
		:: MINE(1, MAY_WITHDRAW(1))
		:: MINE(2, MAY_WITHDRAW(2))
		:: MINE(3, MAY_WITHDRAW(3))
		fi;
		withdraw(c);
		c = 0
	   }
	// The agent's process restarts with empty memory and reads all that is kept.
	:: atomic {
		budget > 0 ->
		budget--;
		next[a] = oldest;
		phase[a] = FREE; owner[a] = 0; touched[a] = 0; released[a] = 0;
		c = 1;
		do
		:: c > claims -> break
		:: c <= claims ->
			if
			:: OWN(c) -> claimant[c] = AGENTS // of an incarnation that is gone
			:: else
			fi;
			c++
		od;
		c = 0
	   }
	od
}

// The log takes appends in any order, drops them, or takes them twice.
proctype log() {
	byte k, c;
end:
	do
	:: atomic {
		if
		:: records < RECORDS && flight[CLAIM] -> k = CLAIM
		:: records < RECORDS && flight[RELEASE] -> k = RELEASE
		:: records < RECORDS && flight[ANSWER] -> k = ANSWER
		fi;
		if
		:: flight[k] & BIT(1) -> c = 1
		:: flight[k] & BIT(2) -> c = 2
		:: flight[k] & BIT(3) -> c = 3
		fi;
		kind[records] = k;
		about[records] = c;
		records++;
		if
		:: flight[k] = flight[k] & ~BIT(c)
		:: budget > 0 -> budget--
		fi;
		k = 0;
		c = 0
	   }
	// Records expire; the key is older than its window by then.
	:: atomic {
		oldest < records ->
		kind[oldest] = 0;
		about[oldest] = 0;
		oldest++
	   }
	od
}

init {
	atomic {
		run agent(0);
		run agent(1);
		run log()
	}
}
