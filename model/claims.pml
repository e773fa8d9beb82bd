// model: claims
// twins: DROP_FIRST DROP_VOID DROP_OWNER DROP_ONCE DROP_WITHDRAW DROP_RUNNING DROP_VERDICT DROP_AGE DROP_REBASE DROP_EXPIRED
// compile: -DSAFETY -DCOLLAPSE
// run: -m1000000
//
// The claims of one key of a call that may not be repeated (internal/core/claims).
// Entries send the call and its repeats to either of two agents. An agent may
// pause at any point (its steps are not taken) and restart with empty memory.
// Appends take effect at any time, out of order, twice or never. It makes no
// difference whether the answer to an append arrives, since an agent only acts on
// what it reads from the log. Records expire once the key is older than its
// window.
//
// Properties (asserts): the call runs at most once; a request that was refused
// with "not run" has not run and never does; all answers given to callers are the
// same. A key that a withdrawn claim holds for good is an error, too (see "end").

#define AGENTS  2
#define BUDGET  3 // sum of claims, restarts and appends that take effect twice
#ifndef RECORDS
#define RECORDS 4 // records in the stream
#endif

// Kinds of operation in a record.
#define CLAIM   1
#define RELEASE 2
#define ANSWER  3

// Phases of the key in an agent's replica.
#define FREE     0
#define CLAIMED  1
#define ANSWERED 2

// Stages of a claim at its agent. OVER: lost or withdrawn.
#define NONE    0
#define PENDING 1
#define WON     2
#define RUNNING 3
#define ENDED   4
#define OVER    5

#define BIT(n) (1 << (n))

// The platform's log.
byte kind[RECORDS];
byte claim_of[RECORDS]; // claim to which the record belongs
byte records = 0;
byte oldest = 0;
byte in_flight[4];      // by kind: bits of the claims whose append has not taken effect

// Each agent's replica of the keys' states (claims.Replica).
byte next[AGENTS];
byte phase[AGENTS];
byte owner[AGENTS];
byte touched[AGENTS];  // offset of the record that last changed the key
byte released[AGENTS]; // bits of claims

// Claims, and what really happened to them.
byte claims = 0;
byte stage[4];
byte claimant[4]; // agent that made the claim
byte ran = 0;     // bits of claims
byte refused = 0; // bits of claims
byte runs = 0;
byte answered_claim = 0; // claim whose answer callers got
byte budget = BUDGET;

#define OWN(c) (claimant[c] == a)

inline send(k, c) { in_flight[k] = in_flight[k] | BIT(c) }

inline give_answer(c) {
	assert(answered_claim == 0 || answered_claim == c);
	answered_claim = c
}

inline refuse(c) {
	refused = refused | BIT(c);
	assert((ran & BIT(c)) == 0)
}

// Claimant.Withdraw: abandons a claim before its call runs.
inline withdraw(c) {
	refuse(c);
#ifndef DROP_WITHDRAW
	stage[c] = OVER;
#endif
	send(RELEASE, c)
}

// Replica.applyClaim, Replica.applyRelease, Replica.applyAnswer.
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

// Claimant.decideClaim: agent a applies the replica's verdict to its own claim.
inline settle(k, c) {
	if
	:: k == CLAIM && OWN(c) && stage[c] == PENDING && phase[a] == CLAIMED && owner[a] == c -> stage[c] = WON
	:: k == CLAIM && OWN(c) && stage[c] == PENDING && !(phase[a] == CLAIMED && owner[a] == c) -> stage[c] = OVER
	:: k == CLAIM && OWN(c) && stage[c] == OVER && phase[a] == CLAIMED && owner[a] == c -> send(RELEASE, c)
	:: else
	fi
}

// Guard of a step of agent a: chooses its own claim n if that is in a given stage.
#define OWN_CLAIM(n, in) claims >= n && claimant[n] == a && (in) -> c = n

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
	// claimlog.Log.Do and refuseNewKey, CheckAge, Claimant.Begin: a request for a
	// key that no claim holds.
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
	// claimlog.Log.Do: a repeat of an answered call gets the stored answer.
	:: atomic { phase[a] == ANSWERED && answered_claim != owner[a] -> give_answer(owner[a]) }
	// claimlog.Log.applyPage, Claimant.Apply: reads the next record.
	:: atomic {
		next[a] >= oldest && next[a] < records ->
		c = claim_of[next[a]];
		fold(kind[next[a]], c);
		assert(phase[a] != CLAIMED || !(released[a] & BIT(owner[a])));
		settle(kind[next[a]], c);
		next[a]++;
		c = 0
	   }
	// claimlog.Log.reset, Claimant.Reset: records expired before they were read.
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
	// Claimant.Expire, Replica.Expire: drops the state of expired records. An
	// undecided claim, which would have lost, is withdrawn first.
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
	// Claimant.Start: the call runs, or its connection fails (Claimant.NotSent).
	:: atomic {
		if
		:: OWN_CLAIM(1, MAY_RUN(1))
		:: OWN_CLAIM(2, MAY_RUN(2))
		:: OWN_CLAIM(3, MAY_RUN(3))
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
	// Claimant.Finish. A run that never takes this step has broken off without an
	// answer; others cannot tell it from one that still runs.
	:: atomic {
		if
		:: OWN_CLAIM(1, stage[1] == RUNNING)
		:: OWN_CLAIM(2, stage[2] == RUNNING)
		:: OWN_CLAIM(3, stage[3] == RUNNING)
		fi;
		stage[c] = ENDED;
		send(ANSWER, c);
		give_answer(c);
		c = 0
	   }
	// claimlog.Log.withdraw, Claimant.Withdraw: the request timed out or its
	// caller has disconnected.
	:: atomic {
		if
		:: OWN_CLAIM(1, MAY_WITHDRAW(1))
		:: OWN_CLAIM(2, MAY_WITHDRAW(2))
		:: OWN_CLAIM(3, MAY_WITHDRAW(3))
		fi;
		withdraw(c);
		c = 0
	   }
	// The agent's process restarts with empty memory and reads all records that
	// have not expired.
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
			:: OWN(c) -> claimant[c] = AGENTS // belongs to an incarnation that has ended
			:: else
			fi;
			c++
		od;
		c = 0
	   }
	od
}

// The log takes appends in any order, twice or never.
proctype log() {
	byte k, c;
end:
	do
	:: atomic {
		if
		:: records < RECORDS && in_flight[CLAIM] -> k = CLAIM
		:: records < RECORDS && in_flight[RELEASE] -> k = RELEASE
		:: records < RECORDS && in_flight[ANSWER] -> k = ANSWER
		fi;
		if
		:: in_flight[k] & BIT(1) -> c = 1
		:: in_flight[k] & BIT(2) -> c = 2
		:: in_flight[k] & BIT(3) -> c = 3
		fi;
		kind[records] = k;
		claim_of[records] = c;
		records++;
		if
		:: in_flight[k] = in_flight[k] & ~BIT(c)
		:: budget > 0 -> budget--
		fi;
		k = 0;
		c = 0
	   }
	// Records expire; the key is older than its window by then.
	:: atomic {
		oldest < records ->
		kind[oldest] = 0;
		claim_of[oldest] = 0;
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
