// A change of the expert map of a lock-step group by orders to its engines
// (internal/core/mapchange): prepare, hold, arm, go and disarm. Orders are lost,
// or carried out at any later time; leaders are overtaken at any point and go on
// from old reads; the group may form again in a new epoch.
//
// model: mapchange
// twins: DROP_ALL_ARMED DROP_EPOCH DROP_HOLD
// compile: -DSAFETY -DCOLLAPSE
// run: -m1000000
//
// Rank 0 is the one that holds. Bounds: two ranks, two leaders with one version
// each, four passes, one late order at a time, and a read of both ranks at once.
// Within them the fence, the renewal of the hold and versions given up are not
// needed; the state machine in Go, with three ranks, more leaders and reads rank
// by rank, shows that they are.

#define RANKS 2
#define LEADERS 2
#define MAXSTEP 4
#define VERSIONS 1 /* of each leader */

#define PREPARE 1
#define ARM 2
#define DISARM 3
#define HOLD 4
#define GO 5

/* Engines. */
byte epoch = 1;
byte step = 1;
byte version[RANKS];
byte prepared[RANKS];
byte highest[RANKS];
byte armed[RANKS];
byte armstep[RANKS];
byte fence[RANKS];
byte held; /* by rank 0 */

/* Late orders: operation, rank, version, step, token, epoch. */
chan late = [1] of { byte, byte, byte, byte, byte, byte };

/* What the leaders have read, by leader * RANKS + rank. */
#define AT(r) (me * RANKS + r)
byte seen[LEADERS * RANKS]; /* epoch of the read; 0: not read */
byte rprepared[LEADERS * RANKS];
byte rarmed[LEADERS * RANKS];
byte rarmstep[LEADERS * RANKS];
byte rversion[LEADERS * RANKS];
byte rheld[LEADERS];
byte rstep[LEADERS];
byte touched[LEADERS * RANKS]; /* epoch in which the rank accepted an order */
byte want[LEADERS];
byte used[LEADERS];
byte givenup[LEADERS];

bool accepted;

#define FENCED(r, t) (t < fence[r])
#ifdef DROP_EPOCH
#define SAME_EPOCH(e) true
#else
#define SAME_EPOCH(e) (e == epoch)
#endif

inline carry_out(op, r, v, s, t, e) {
	accepted = false;
	if
	:: !SAME_EPOCH(e) || FENCED(r, t) -> skip
	:: else ->
		if
		:: op == PREPARE && v > highest[r] && armed[r] == 0 -> highest[r] = v; prepared[r] = v; accepted = true
		:: op == ARM && armed[r] == v && armstep[r] == s -> accepted = true
		:: op == ARM && armed[r] == 0 && prepared[r] == v && s > step -> armed[r] = v; armstep[r] = s; accepted = true
		:: op == DISARM && armed[r] == v -> armed[r] = 0; armstep[r] = 0; accepted = true
		:: op == HOLD && s > step && (held == 0 || held == s) -> held = s; accepted = true
		:: op == GO && held == s -> held = 0; accepted = true
		:: else -> skip
		fi;
		if
		:: accepted -> fence[r] = t
		:: else -> skip
		fi
	fi
}

/* An order arrives at once, or is late. The read is used up either way. */
inline send(op, r, v, s) {
	if
	:: carry_out(op, r, v, s, me + 1, seen[AT(r)]);
		if
		:: accepted -> touched[AT(r)] = seen[AT(r)]
		:: else -> skip
		fi
	:: nfull(late) -> late!op, r, v, s, me + 1, seen[AT(r)]
	fi
}

#define ARMABLE(v) (v != 0 && v != givenup_of(me) && \
	((rarmed[AT(0)] == v && rarmstep[AT(0)] == rheld[me]) || (rarmed[AT(0)] == 0 && rprepared[AT(0)] == v)) && \
	((rarmed[AT(1)] == v && rarmstep[AT(1)] == rheld[me]) || (rarmed[AT(1)] == 0 && rprepared[AT(1)] == v)))
#define givenup_of(l) givenup[l]
#ifdef DROP_ALL_ARMED
#define MISSING(r, v) (r == 0 && (rarmed[AT(r)] != v || touched[AT(r)] != seen[AT(r)]))
#else
#define MISSING(r, v) (rarmed[AT(r)] != v || touched[AT(r)] != seen[AT(r)])
#endif
#define CANDIDATE (rarmed[AT(0)] != 0 -> rarmed[AT(0)] : rprepared[AT(0)])
#define RENEW (touched[AT(0)] != seen[AT(0)])
#ifdef DROP_HOLD
#define HELD_STEP (rstep[me] + 2 <= MAXSTEP -> rstep[me] + 2 : MAXSTEP)
#define IS_HELD (rprepared[AT(0)] == want[me] && rprepared[AT(1)] == want[me] && want[me] != 0)
#else
#define IS_HELD (rheld[me] > 0)
#endif

proctype leader(byte me) {
	byte r;
	byte c;
	do
	/* Read the ranks. */
	:: atomic {
		seen[AT(0)] == 0 ->
		r = 0;
		do
		:: r < RANKS ->
			seen[AT(r)] = epoch;
			rprepared[AT(r)] = prepared[r];
			rarmed[AT(r)] = armed[r];
			rarmstep[AT(r)] = armstep[r];
			rversion[AT(r)] = version[r];
			r++
		:: else -> break
		od;
		rheld[me] = held; rstep[me] = step;
		r = 0
	}
	/* Decide and give one of the orders that are due. */
	:: atomic {
		seen[AT(0)] != 0 && seen[AT(1)] != 0 ->
		c = CANDIDATE;
		if
		:: seen[AT(0)] != seen[AT(1)] -> skip
		:: else ->
			if
			:: want[me] != 0 && (rversion[AT(0)] == want[me] || givenup[me] == want[me]) -> want[me] = 0
			:: else -> skip
			fi;
			if
			:: want[me] == 0 && used[me] < VERSIONS -> used[me]++; want[me] = me * VERSIONS + used[me]
			:: else -> skip
			fi;
#ifdef DROP_HOLD
			rheld[me] = HELD_STEP;
#endif
			if
			:: IS_HELD && RENEW -> send(HOLD, 0, 0, rheld[me])
			:: IS_HELD && !RENEW && rarmed[AT(0)] != 0 && rarmstep[AT(0)] < rheld[me] -> skip
			:: IS_HELD && !RENEW && rarmed[AT(1)] != 0 && rarmstep[AT(1)] < rheld[me] -> skip
			:: IS_HELD && !RENEW && ARMABLE(c) && MISSING(0, c) -> send(ARM, 0, c, rheld[me])
			:: IS_HELD && !RENEW && ARMABLE(c) && MISSING(1, c) -> send(ARM, 1, c, rheld[me])
			:: IS_HELD && !RENEW && ARMABLE(c) && !MISSING(0, c) && !MISSING(1, c) -> send(GO, 0, 0, rheld[me])
			:: IS_HELD && !RENEW && !ARMABLE(c) && want[me] != 0 && rarmed[AT(0)] != 0 && rarmstep[AT(0)] == rheld[me] ->
				givenup[me] = rarmed[AT(0)]; send(DISARM, 0, rarmed[AT(0)], 0)
			:: IS_HELD && !RENEW && !ARMABLE(c) && want[me] != 0 && rarmed[AT(1)] != 0 && rarmstep[AT(1)] == rheld[me] ->
				givenup[me] = rarmed[AT(1)]; send(DISARM, 1, rarmed[AT(1)], 0)
			:: IS_HELD && !RENEW && !ARMABLE(c) && want[me] != 0 && rarmed[AT(0)] == 0 && rprepared[AT(0)] != want[me] -> send(PREPARE, 0, want[me], 0)
			:: IS_HELD && !RENEW && !ARMABLE(c) && want[me] != 0 && rarmed[AT(1)] == 0 && rprepared[AT(1)] != want[me] -> send(PREPARE, 1, want[me], 0)
			:: !IS_HELD && rarmed[AT(0)] == 0 && rarmed[AT(1)] == 0 && want[me] != 0 && rprepared[AT(0)] != want[me] -> send(PREPARE, 0, want[me], 0)
			:: !IS_HELD && rarmed[AT(0)] == 0 && rarmed[AT(1)] == 0 && want[me] != 0 && rprepared[AT(1)] != want[me] -> send(PREPARE, 1, want[me], 0)
			:: !IS_HELD && rarmed[AT(0)] == 0 && rarmed[AT(1)] == 0 && want[me] != 0 && rprepared[AT(0)] == want[me] && rprepared[AT(1)] == want[me] && rstep[me] + 2 <= MAXSTEP -> send(HOLD, 0, 0, rstep[me] + 2)
			:: else -> skip
			fi
		fi;
		seen[AT(0)] = 0; seen[AT(1)] = 0;
		rprepared[AT(0)] = 0; rprepared[AT(1)] = 0; rarmed[AT(0)] = 0; rarmed[AT(1)] = 0;
		rarmstep[AT(0)] = 0; rarmstep[AT(1)] = 0; rversion[AT(0)] = 0; rversion[AT(1)] = 0;
		rheld[me] = 0; rstep[me] = 0; c = 0
	}
	od
}

/* A late order is carried out, whichever was sent first. */
proctype arrivals() {
	byte op; byte r; byte v; byte s; byte t; byte e;
	do
	:: atomic { late??op, r, v, s, t, e -> carry_out(op, r, v, s, t, e); op = 0; r = 0; v = 0; s = 0; t = 0; e = 0 }
	od
}

proctype passes() {
	do
	:: atomic {
		step < MAXSTEP && held != step + 1 ->
		step++;
		if
		:: armed[0] != 0 && armstep[0] == step -> version[0] = armed[0]; armed[0] = 0; armstep[0] = 0
		:: else -> skip
		fi;
		if
		:: armed[1] != 0 && armstep[1] == step -> version[1] = armed[1]; armed[1] = 0; armstep[1] = 0
		:: else -> skip
		fi;
		assert(version[0] == version[1])
	}
	/* A rank starts anew, without its fences, and the group forms again. */
	:: atomic {
		epoch == 1 ->
		epoch = 2;
		held = 0;
		version[0] = 0; prepared[0] = 0; armed[0] = 0; armstep[0] = 0;
		version[1] = 0; prepared[1] = 0; armed[1] = 0; armstep[1] = 0;
		fence[1] = 0; highest[1] = 0
	}
	od
}

init {
	atomic {
		run leader(0);
		run leader(1);
		run arrivals();
		run passes()
	}
}
