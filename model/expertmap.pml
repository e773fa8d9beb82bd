// One change of the expert map of a lock-step group: ranks promise ballots,
// hold at a step S and follow a decision. Messages are lost, repeated and
// reordered: what was once sent may arrive at any later time, any number of
// times, or never. Coordinators may stop or pause anywhere. Agents restart
// beside their live engine and forget their promises.
//
// model: expertmap
// twins: DROP_BALLOT DROP_INCARNATION DROP_CARRY DROP_CONFIRM DROP_TOO_LATE DROP_LEARN_FIRST
//
// An answer counts at once: a late one is the same as a paused coordinator,
// whose next messages come late.
//
// A replaced engine (a new epoch) is not part of this model; the state machine
// test of internal/core/expertmap has it.

#define RANKS 3
#define COORDINATORS 2 /* the ballot of a coordinator is its number */
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define NONE 0
#define ACTIVATE 1
#define CANCEL 2
#define HELD 3     /* in a promise: holds, has followed nothing */

#define LEARN 0
#define PREPARE 1
#define HOLD 2
#define CONFIRM 3
#define DECIDE 4

#define OLD 1
#define NEW 2

/* Engines. They outlive their agents. */
bool held[RANKS];
byte followed[RANKS];
byte ran[RANKS];   /* map used in step S, or 0 before it */

/* Agents. */
byte incarnation[RANKS];
byte promised[RANKS];
byte restarts;

/* Coordinators: arrays are by (ballot - 1) * RANKS + rank. */
#define AT(c, r) ((c - 1) * RANKS + r)
byte phase[COORDINATORS + 1];
bool holds_sent[COORDINATORS + 1];
byte decision[COORDINATORS + 1];
byte known[COORDINATORS * RANKS];   /* incarnation */
byte promise[COORDINATORS * RANKS]; /* answer to prepare plus one */
byte holds[COORDINATORS * RANKS];   /* answer to hold: 1 held, 2 too late */
bool stands[COORDINATORS * RANKS];  /* answer to confirm */

/* Acceptor.Handle: a message is for one incarnation. */
#ifdef DROP_INCARNATION
#define REACHES(c, r) (true)
#else
#define REACHES(c, r) (known[AT(c, r)] == incarnation[r])
#endif

/* Acceptor.allows: all but prepare need the ballot that is promised. */
#ifdef DROP_BALLOT
#define ALLOWED(c, r) (true)
#else
#define ALLOWED(c, r) (promised[r] == c)
#endif

/* The engine's part of hold. */
#ifdef DROP_TOO_LATE
#define IN_TIME(r) (followed[r] == NONE)
#else
#define IN_TIME(r) (followed[r] == NONE && ran[r] == 0)
#endif

bool ok, late;
byte evidence, i;

/* Runner: hello. A coordinator learns all incarnations before its first
   prepare. */
inline begin(c) {
  i = 0;
  do
  :: i < RANKS -> known[AT(c, i)] = incarnation[i]; i++
  :: else -> break
  od;
  phase[c] = PREPARE;
  i = 0
}

/* Acceptor.prepare */
inline prepare(c, r) {
  promised[r] = c;
  if
  :: followed[r] != NONE -> promise[AT(c, r)] = followed[r] + 1
  :: followed[r] == NONE && held[r] -> promise[AT(c, r)] = HELD + 1
  :: else -> promise[AT(c, r)] = NONE + 1
  fi;
  choose(c)
}

/* Coordinator.choose */
inline choose(c) {
  ok = true; evidence = NONE; i = 0;
  do
  :: i < RANKS ->
     ok = ok && promise[AT(c, i)] != 0;
     if
     :: promise[AT(c, i)] == ACTIVATE + 1 || promise[AT(c, i)] == CANCEL + 1 ->
        evidence = promise[AT(c, i)] - 1
     :: promise[AT(c, i)] == HELD + 1 && evidence == NONE -> evidence = HELD
     :: else
     fi;
     i++
  :: else -> break
  od;
  if
  :: phase[c] == PREPARE && ok && evidence == NONE -> phase[c] = HOLD; holds_sent[c] = true
  :: phase[c] == PREPARE && ok && evidence != NONE ->
#ifdef DROP_CARRY
     decision[c] = CANCEL;
#else
     decision[c] = (evidence == ACTIVATE -> ACTIVATE : CANCEL);
#endif
#ifdef DROP_CONFIRM
     phase[c] = DECIDE
#else
     phase[c] = CONFIRM
#endif
  :: else
  fi;
  ok = false; evidence = 0; i = 0
}

/* Acceptor.hold; Coordinator.advance and Coordinator.tooLate */
inline hold(c, r) {
  if
  :: IN_TIME(r) -> held[r] = true; holds[AT(c, r)] = 1
  :: else -> holds[AT(c, r)] = 2
  fi;
  ok = true; late = false; i = 0;
  do
  :: i < RANKS ->
     ok = ok && holds[AT(c, i)] == 1;
     late = late || holds[AT(c, i)] == 2;
     i++
  :: else -> break
  od;
  if
  :: phase[c] == HOLD && late -> decision[c] = CANCEL; phase[c] = CONFIRM
  :: phase[c] == HOLD && ok -> decision[c] = ACTIVATE; phase[c] = DECIDE
  :: else
  fi;
  ok = false; late = false; i = 0
}

/* Acceptor.Handle: confirm; Coordinator.advance */
inline confirm(c, r) {
  stands[AT(c, r)] = true;
  ok = true; i = 0;
  do
  :: i < RANKS -> ok = ok && stands[AT(c, i)]; i++
  :: else -> break
  od;
  if
  :: ok -> phase[c] = DECIDE
  :: else
  fi;
  ok = false; i = 0
}

/* Acceptor.decide and the engine's part of it */
inline decide(c, r) {
  followed[r] = decision[c]; held[r] = false
}

/* An engine begins step S. */
inline step(r) {
  ran[r] = (followed[r] == ACTIVATE -> NEW : OLD);
  i = 0;
  do
  :: i < RANKS -> assert(ran[i] == 0 || ran[i] == ran[r]); i++
  :: else -> break
  od;
  i = 0
}

/* A new incarnation of an agent met in the middle: Coordinator.Handle gives the
   ballot up. The twin takes it in and asks that rank again. */
#ifdef DROP_LEARN_FIRST
#define RELEARN(c, r) \
  :: atomic { phase[c] >= PREPARE && phase[c] < DECIDE && known[AT(c, r)] != incarnation[r] -> \
       known[AT(c, r)] = incarnation[r]; promise[AT(c, r)] = 0; holds[AT(c, r)] = 0; stands[AT(c, r)] = false }
#else
#define RELEARN(c, r)
#endif

#define MESSAGES(c, r) \
  :: atomic { phase[c] >= PREPARE && REACHES(c, r) && c >= promised[r] && \
       (promised[r] != c || promise[AT(c, r)] == 0) -> prepare(c, r) } \
  :: atomic { holds_sent[c] && REACHES(c, r) && ALLOWED(c, r) && holds[AT(c, r)] == 0 -> hold(c, r) } \
  :: atomic { phase[c] == CONFIRM && REACHES(c, r) && ALLOWED(c, r) && !stands[AT(c, r)] -> confirm(c, r) } \
  :: atomic { phase[c] == DECIDE && REACHES(c, r) && ALLOWED(c, r) && followed[r] == NONE && \
       (decision[c] == CANCEL || held[r]) -> decide(c, r) } \
  RELEARN(c, r)

#define COORDINATOR(c) \
  :: atomic { phase[c] == LEARN -> begin(c) } \
  MESSAGES(c, 0) \
  MESSAGES(c, 1) \
  MESSAGES(c, 2)

#define RANK(r) \
  :: atomic { ran[r] == 0 && !held[r] -> step(r) } \
  :: atomic { restarts < RESTARTS -> restarts++; incarnation[r]++; promised[r] = 0 }

active proctype group() {
end:
  do
  COORDINATOR(1)
  COORDINATOR(2)
  RANK(0)
  RANK(1)
  RANK(2)
  od
}
