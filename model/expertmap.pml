// One change of the expert map of a lock-step group: ranks promise ballots,
// hold at a step S and follow a decision. Messages are lost, repeated and
// reordered: a message that was once sent may arrive at any later time, any
// number of times, or never. Coordinators may stop or pause anywhere. Agents
// restart while their engine goes on, and forget their promises.
//
// model: expertmap
// twins: DROP_BALLOT DROP_INCARNATION DROP_CARRY DROP_CONFIRM DROP_TOO_LATE DROP_LEARN_FIRST
//
// An answer arrives at once. A late answer would have the same effect as a paused
// coordinator, whose next messages come late.
//
// A replaced engine (a new epoch) is not part of this model, but of the state
// machine test of internal/core/expertmap.

#define RANKS 3
#define COORDINATORS 2 /* the ballot of a coordinator is its number */
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define NONE 0
#define ACTIVATE 1
#define CANCEL 2
#define HELD 3     /* in a promise: the rank holds and has followed no decision */

#define LEARN 0
#define PREPARE 1
#define HOLD 2
#define CONFIRM 3
#define DECIDE 4

#define OLD 1
#define NEW 2

/* Engines. They keep their state when their agents restart. */
bool held[RANKS];
byte followed[RANKS];
byte map_used[RANKS];   /* map used in step S, or 0 before that step */

/* Agents. */
byte incarnation[RANKS];
byte promised[RANKS];
byte restarts;

/* Coordinators: index (ballot - 1) * RANKS + rank. */
#define AT(c, r) ((c - 1) * RANKS + r)
byte phase[COORDINATORS + 1];
bool holds_sent[COORDINATORS + 1];
byte decision[COORDINATORS + 1];
byte known[COORDINATORS * RANKS];   /* incarnation of the rank's agent */
byte promise[COORDINATORS * RANKS]; /* answer to prepare plus one; 0: none */
byte holds[COORDINATORS * RANKS];   /* answer to hold: 0 none, 1 held, 2 too late */
bool confirmed[COORDINATORS * RANKS];  /* whether confirm was answered */

/* Acceptor.Handle: a message reaches only the incarnation it is for. */
#ifdef DROP_INCARNATION
#define REACHES(c, r) (true)
#else
#define REACHES(c, r) (known[AT(c, r)] == incarnation[r])
#endif

/* Acceptor.permits: all requests but prepare must have the promised ballot. */
#ifdef DROP_BALLOT
#define ALLOWED(c, r) (true)
#else
#define ALLOWED(c, r) (promised[r] == c)
#endif

/* The engine's condition for a hold. */
#ifdef DROP_TOO_LATE
#define IN_TIME(r) (followed[r] == NONE)
#else
#define IN_TIME(r) (followed[r] == NONE && map_used[r] == 0)
#endif

bool ok, late;
byte evidence, i;

/* mapgroup.Runner.hello: a coordinator learns all incarnations before its first
   prepare. */
inline learn_incarnations(c) {
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
  choose_action(c)
}

/* Coordinator.chooseAction */
inline choose_action(c) {
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

/* Acceptor.hold; Coordinator.advance and Coordinator.cancelTooLate */
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
  confirmed[AT(c, r)] = true;
  ok = true; i = 0;
  do
  :: i < RANKS -> ok = ok && confirmed[AT(c, i)]; i++
  :: else -> break
  od;
  if
  :: ok -> phase[c] = DECIDE
  :: else
  fi;
  ok = false; i = 0
}

/* Acceptor.decide and the engine's Follow */
inline decide(c, r) {
  followed[r] = decision[c]; held[r] = false
}

/* An engine begins step S. */
inline step(r) {
  map_used[r] = (followed[r] == ACTIVATE -> NEW : OLD);
  i = 0;
  do
  :: i < RANKS -> assert(map_used[i] == 0 || map_used[i] == map_used[r]); i++
  :: else -> break
  od;
  i = 0
}

/* An answer shows a new incarnation of an agent: Coordinator.Handle abandons the
   ballot. The twin accepts the new incarnation and asks that rank again. */
#ifdef DROP_LEARN_FIRST
#define RELEARN(c, r) \
  :: atomic { phase[c] >= PREPARE && phase[c] < DECIDE && known[AT(c, r)] != incarnation[r] -> \
       known[AT(c, r)] = incarnation[r]; promise[AT(c, r)] = 0; holds[AT(c, r)] = 0; confirmed[AT(c, r)] = false }
#else
#define RELEARN(c, r)
#endif

#define MESSAGES(c, r) \
  :: atomic { phase[c] >= PREPARE && REACHES(c, r) && c >= promised[r] && \
       (promised[r] != c || promise[AT(c, r)] == 0) -> prepare(c, r) } \
  :: atomic { holds_sent[c] && REACHES(c, r) && ALLOWED(c, r) && holds[AT(c, r)] == 0 -> hold(c, r) } \
  :: atomic { phase[c] == CONFIRM && REACHES(c, r) && ALLOWED(c, r) && !confirmed[AT(c, r)] -> confirm(c, r) } \
  :: atomic { phase[c] == DECIDE && REACHES(c, r) && ALLOWED(c, r) && followed[r] == NONE && \
       (decision[c] == CANCEL || held[r]) -> decide(c, r) } \
  RELEARN(c, r)

#define COORDINATOR(c) \
  :: atomic { phase[c] == LEARN -> learn_incarnations(c) } \
  MESSAGES(c, 0) \
  MESSAGES(c, 1) \
  MESSAGES(c, 2)

#define RANK(r) \
  :: atomic { map_used[r] == 0 && !held[r] -> step(r) } \
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
