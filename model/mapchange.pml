// A change of the expert map of a lock-step group by orders to its engines
// (internal/core/mapchange): prepare, hold, arm, release and disarm. Orders are
// lost, or carried out at any later time. Another leader may take over at any
// point, while the old one still acts on old reads. The group may form again in a
// new epoch.
//
// model: mapchange
// twins: DROP_ALL_ARMED DROP_EPOCH DROP_HOLD
// compile: -DSAFETY -DCOLLAPSE
// run: -m1000000
//
// Rank 0 is the holder. Bounds: two ranks, two leaders with one version each, four
// steps, one late order at a time, and both ranks are read at once. Within these
// bounds the fence, the renewal of the hold and the list of abandoned versions are
// not needed. The state machine test in Go, with three ranks, more leaders and
// reads of single ranks, shows that they are.

#define RANKS 2
#define LEADERS 2
#define MAXSTEP 4
#define VERSIONS 1 /* versions that each leader may propose */

#define PREPARE 1
#define ARM 2
#define DISARM 3
#define HOLD 4
#define RELEASE 5

/* Engines. */
byte epoch = 1;
byte step = 1;
byte version[RANKS];
byte prepared[RANKS];
byte highest_prepared[RANKS];
byte armed[RANKS];
byte armed_step[RANKS];
byte fence[RANKS];
byte held; /* step that rank 0 holds; 0: none */

/* Late orders: operation, rank, version, step, token, epoch. */
chan late = [1] of { byte, byte, byte, byte, byte, byte };

/* What the leaders have read: index leader * RANKS + rank. */
#define AT(r) (me * RANKS + r)
byte read_epoch[LEADERS * RANKS]; /* epoch of the read; 0: not read */
byte read_prepared[LEADERS * RANKS];
byte read_armed[LEADERS * RANKS];
byte read_armed_step[LEADERS * RANKS];
byte read_version[LEADERS * RANKS];
byte read_held[LEADERS];
byte read_step[LEADERS];
byte accepted_epoch[LEADERS * RANKS]; /* epoch in which the rank accepted an order */
byte want[LEADERS];      /* version to put in force; 0: none */
byte used[LEADERS];      /* number of versions proposed */
byte abandoned[LEADERS]; /* version for which a disarm order was sent */

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
		:: op == PREPARE && v > highest_prepared[r] && armed[r] == 0 -> highest_prepared[r] = v; prepared[r] = v; accepted = true
		:: op == ARM && armed[r] == v && armed_step[r] == s -> accepted = true
		:: op == ARM && armed[r] == 0 && prepared[r] == v && s > step -> armed[r] = v; armed_step[r] = s; accepted = true
		:: op == DISARM && armed[r] == v -> armed[r] = 0; armed_step[r] = 0; accepted = true
		:: op == HOLD && s > step && (held == 0 || held == s) -> held = s; accepted = true
		:: op == RELEASE && held == s -> held = 0; accepted = true
		:: else -> skip
		fi;
		if
		:: accepted -> fence[r] = t
		:: else -> skip
		fi
	fi
}

/* An order arrives at once, or is late. Either way the leader reads again before
   its next order. */
inline send(op, r, v, s) {
	if
	:: carry_out(op, r, v, s, me + 1, read_epoch[AT(r)]);
		if
		:: accepted -> accepted_epoch[AT(r)] = read_epoch[AT(r)]
		:: else -> skip
		fi
	:: nfull(late) -> late!op, r, v, s, me + 1, read_epoch[AT(r)]
	fi
}

#define ARMABLE(v) (v != 0 && v != abandoned_by(me) && \
	((read_armed[AT(0)] == v && read_armed_step[AT(0)] == read_held[me]) || (read_armed[AT(0)] == 0 && read_prepared[AT(0)] == v)) && \
	((read_armed[AT(1)] == v && read_armed_step[AT(1)] == read_held[me]) || (read_armed[AT(1)] == 0 && read_prepared[AT(1)] == v)))
#define abandoned_by(l) abandoned[l]
#ifdef DROP_ALL_ARMED
#define NOT_ARMED(r, v) (r == 0 && (read_armed[AT(r)] != v || accepted_epoch[AT(r)] != read_epoch[AT(r)]))
#else
#define NOT_ARMED(r, v) (read_armed[AT(r)] != v || accepted_epoch[AT(r)] != read_epoch[AT(r)])
#endif
#define CANDIDATE (read_armed[AT(0)] != 0 -> read_armed[AT(0)] : read_prepared[AT(0)])
#define HOLD_NOT_RENEWED (accepted_epoch[AT(0)] != read_epoch[AT(0)])
#ifdef DROP_HOLD
#define HELD_STEP (read_step[me] + 2 <= MAXSTEP -> read_step[me] + 2 : MAXSTEP)
#define IS_HELD (read_prepared[AT(0)] == want[me] && read_prepared[AT(1)] == want[me] && want[me] != 0)
#else
#define IS_HELD (read_held[me] > 0)
#endif

proctype leader(byte me) {
	byte r;
	byte c;
	do
	/* Read the ranks. */
	:: atomic {
		read_epoch[AT(0)] == 0 ->
		r = 0;
		do
		:: r < RANKS ->
			read_epoch[AT(r)] = epoch;
			read_prepared[AT(r)] = prepared[r];
			read_armed[AT(r)] = armed[r];
			read_armed_step[AT(r)] = armed_step[r];
			read_version[AT(r)] = version[r];
			r++
		:: else -> break
		od;
		read_held[me] = held; read_step[me] = step;
		r = 0
	}
	/* Send one of the orders that are due. */
	:: atomic {
		read_epoch[AT(0)] != 0 && read_epoch[AT(1)] != 0 ->
		c = CANDIDATE;
		if
		:: read_epoch[AT(0)] != read_epoch[AT(1)] -> skip
		:: else ->
			if
			:: want[me] != 0 && (read_version[AT(0)] == want[me] || abandoned[me] == want[me]) -> want[me] = 0
			:: else -> skip
			fi;
			if
			:: want[me] == 0 && used[me] < VERSIONS -> used[me]++; want[me] = me * VERSIONS + used[me]
			:: else -> skip
			fi;
#ifdef DROP_HOLD
			read_held[me] = HELD_STEP;
#endif
			if
			:: IS_HELD && HOLD_NOT_RENEWED -> send(HOLD, 0, 0, read_held[me])
			:: IS_HELD && !HOLD_NOT_RENEWED && read_armed[AT(0)] != 0 && read_armed_step[AT(0)] < read_held[me] -> skip
			:: IS_HELD && !HOLD_NOT_RENEWED && read_armed[AT(1)] != 0 && read_armed_step[AT(1)] < read_held[me] -> skip
			:: IS_HELD && !HOLD_NOT_RENEWED && ARMABLE(c) && NOT_ARMED(0, c) -> send(ARM, 0, c, read_held[me])
			:: IS_HELD && !HOLD_NOT_RENEWED && ARMABLE(c) && NOT_ARMED(1, c) -> send(ARM, 1, c, read_held[me])
			:: IS_HELD && !HOLD_NOT_RENEWED && ARMABLE(c) && !NOT_ARMED(0, c) && !NOT_ARMED(1, c) -> send(RELEASE, 0, 0, read_held[me])
			:: IS_HELD && !HOLD_NOT_RENEWED && !ARMABLE(c) && want[me] != 0 && read_armed[AT(0)] != 0 && read_armed_step[AT(0)] == read_held[me] ->
				abandoned[me] = read_armed[AT(0)]; send(DISARM, 0, read_armed[AT(0)], 0)
			:: IS_HELD && !HOLD_NOT_RENEWED && !ARMABLE(c) && want[me] != 0 && read_armed[AT(1)] != 0 && read_armed_step[AT(1)] == read_held[me] ->
				abandoned[me] = read_armed[AT(1)]; send(DISARM, 1, read_armed[AT(1)], 0)
			:: IS_HELD && !HOLD_NOT_RENEWED && !ARMABLE(c) && want[me] != 0 && read_armed[AT(0)] == 0 && read_prepared[AT(0)] != want[me] -> send(PREPARE, 0, want[me], 0)
			:: IS_HELD && !HOLD_NOT_RENEWED && !ARMABLE(c) && want[me] != 0 && read_armed[AT(1)] == 0 && read_prepared[AT(1)] != want[me] -> send(PREPARE, 1, want[me], 0)
			:: !IS_HELD && read_armed[AT(0)] == 0 && read_armed[AT(1)] == 0 && want[me] != 0 && read_prepared[AT(0)] != want[me] -> send(PREPARE, 0, want[me], 0)
			:: !IS_HELD && read_armed[AT(0)] == 0 && read_armed[AT(1)] == 0 && want[me] != 0 && read_prepared[AT(1)] != want[me] -> send(PREPARE, 1, want[me], 0)
			:: !IS_HELD && read_armed[AT(0)] == 0 && read_armed[AT(1)] == 0 && want[me] != 0 && read_prepared[AT(0)] == want[me] && read_prepared[AT(1)] == want[me] && read_step[me] + 2 <= MAXSTEP -> send(HOLD, 0, 0, read_step[me] + 2)
			:: else -> skip
			fi
		fi;
		read_epoch[AT(0)] = 0; read_epoch[AT(1)] = 0;
		read_prepared[AT(0)] = 0; read_prepared[AT(1)] = 0; read_armed[AT(0)] = 0; read_armed[AT(1)] = 0;
		read_armed_step[AT(0)] = 0; read_armed_step[AT(1)] = 0; read_version[AT(0)] = 0; read_version[AT(1)] = 0;
		read_held[me] = 0; read_step[me] = 0; c = 0
	}
	od
}

/* Late orders are carried out in any order. */
proctype arrivals() {
	byte op; byte r; byte v; byte s; byte t; byte e;
	do
	:: atomic { late??op, r, v, s, t, e -> carry_out(op, r, v, s, t, e); op = 0; r = 0; v = 0; s = 0; t = 0; e = 0 }
	od
}

/* The group begins its steps; all ranks must use the same version. */
proctype group_steps() {
	do
	:: atomic {
		step < MAXSTEP && held != step + 1 ->
		step++;
		if
		:: armed[0] != 0 && armed_step[0] == step -> version[0] = armed[0]; armed[0] = 0; armed_step[0] = 0
		:: else -> skip
		fi;
		if
		:: armed[1] != 0 && armed_step[1] == step -> version[1] = armed[1]; armed[1] = 0; armed_step[1] = 0
		:: else -> skip
		fi;
		assert(version[0] == version[1])
	}
	/* Rank 1 restarts without its fence, and the group forms again. */
	:: atomic {
		epoch == 1 ->
		epoch = 2;
		held = 0;
		version[0] = 0; prepared[0] = 0; armed[0] = 0; armed_step[0] = 0;
		version[1] = 0; prepared[1] = 0; armed[1] = 0; armed_step[1] = 0;
		fence[1] = 0; highest_prepared[1] = 0
	}
	od
}

init {
	atomic {
		run leader(0);
		run leader(1);
		run arrivals();
		run group_steps()
	}
}
