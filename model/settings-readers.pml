// Readers of the settings: followers of the log, a checkpoint that a slow node
// closes late, records that expire, a fresh reader, and nodes that learn from
// each other.
//
// model: settings-readers
// twins: DROP_WHOLE DROP_BASE DROP_OLDEST DROP_CHECKPOINT_TOMBSTONE DROP_MONOTONE DROP_DELTA_WINDOW DROP_DELTA_TOMBSTONE
//
// There is one path. Each record sets it, deletes it, or is of another path;
// writes carry any as-of offset of the last few. Positions are offsets plus
// one; 0 is the state before the first record. settings-writes.pml checks that
// the verdicts are right; here all readers have to reach the same.

#define N 5       /* records in the log at most */
#define K 2       /* settings.Window */
#define SET 1
#define DELETE 2
#define OPS 2
#define NOISE 3   /* record of another path */
#define CLOSE 4   /* record that closes the checkpoint */
#define NODES 2

/* The log. */
byte kind[N+1];
byte record_as_of[N+1];
byte next = 1;    /* position of the next append */
byte oldest = 1;  /* oldest position still kept */

/* The state at each position, as a reader that has been there all along has it. */
byte true_version[N+1];
byte true_value[N+1];
bool true_live[N+1];

/* Nodes. */
bool holds[NODES];
byte at[NODES];
byte version[NODES];
byte value[NODES];
bool live[NODES];

/* The checkpoint: the position of its state and that of its closing record. */
byte base = 0;
byte closed = 0;

/* The guards that twins drop. */
#ifdef DROP_WINDOW
#define IN_WINDOW(pos) true
#else
#define IN_WINDOW(pos) (pos - record_as_of[pos] <= K)
#endif
#ifdef DROP_TOMBSTONE
#define DROPS_DELETION true
#else
#define DROPS_DELETION false
#endif
#ifdef DROP_VERSION
#define UNCHANGED(pos) true
#else
#define UNCHANGED(pos) (v <= record_as_of[pos])
#endif
#ifdef DROP_WHOLE
#define TAKES_PARTS true
#else
#define TAKES_PARTS false
#endif
#ifdef DROP_OLDEST
#define USABLE_BASE true
#else
#define USABLE_BASE (base + 1 >= oldest)
#endif
#ifdef DROP_BASE
#define GOES_ON_BEHIND_CLOSE true
#else
#define GOES_ON_BEHIND_CLOSE false
#endif
#ifdef DROP_CHECKPOINT_TOMBSTONE
#define FORGETFUL true
#else
#define FORGETFUL false
#endif
#ifdef DROP_MONOTONE
#define LATER(a, b) true
#else
#define LATER(a, b) (!holds[b] || at[a] > at[b])
#endif
#ifdef DROP_DELTA_WINDOW
#define TOO_OLD(a, b) false
#else
#define TOO_OLD(a, b) (at[a] - at[b] > K)
#endif
#ifdef DROP_DELTA_TOMBSTONE
#define SENT(a) live[a]
#else
#define SENT(a) true
#endif

/* Scratch within one step; reset at its end. */
byte v, x, p;
bool l, ok;
#define RESET v = 0; x = 0; p = 0; l = false; ok = false

/* settings.State.judge and settings.State.set: folds the record at position p
   into (v, x, l). Sets ok if it is an accepted write. */
inline fold() {
  ok = false;
  if
  :: kind[p] <= OPS ->
     ok = IN_WINDOW(p) && UNCHANGED(p)
  :: else
  fi;
  if
  :: ok -> v = p; x = kind[p]; l = (kind[p] != DELETE);
     if
     :: DROPS_DELETION && !l -> v = 0; x = 0
     :: else
     fi
  :: else
  fi;
  forget()
}

/* settings.State.forget */
inline forget() {
  if
  :: !l && v > 0 && p - v > K -> v = 0; x = 0
  :: else
  fi
}

/* The platform takes a record. */
inline land(what, since) {
  kind[next] = what;
  record_as_of[next] = since;
  p = next;
  v = true_version[next-1]; x = true_value[next-1]; l = true_live[next-1];
  fold();
  true_version[next] = v; true_value[next] = x; true_live[next] = l;
  next++;
  RESET
}

/* All readers at one offset agree. */
inline agree(n) {
  assert(version[n] == true_version[at[n]] && value[n] == true_value[at[n]] && live[n] == true_live[at[n]])
}

/* settingssync.Node.followOnce: node n reads and folds one record. */
inline follow(n) {
  p = at[n] + 1;
  v = version[n]; x = value[n]; l = live[n];
  fold();
  version[n] = v; value[n] = x; live[n] = l; at[n] = p;
  agree(n);
  RESET
}

/* A node may load from the log if it holds nothing or lags behind the oldest
   record. */
#define LOST(n) (!holds[n] || at[n] + 1 < oldest)

/* settingssync.loadFromLog: node n folds the log from its start. */
inline load_all(n) {
  at[n] = 0; version[n] = 0; value[n] = 0; live[n] = false;
  holds[n] = true
}

/* settingssync.newestCheckpoint and settings.Restore: node n takes the
   checkpoint, of which a chunk may be missing. */
inline load_checkpoint(n, whole) {
  at[n] = base;
  version[n] = true_version[base]; value[n] = true_value[base]; live[n] = true_live[base];
  if
  :: !whole || (FORGETFUL && !live[n]) -> version[n] = 0; value[n] = 0; live[n] = false
  :: else
  fi;
  if
  :: GOES_ON_BEHIND_CLOSE -> at[n] = closed
  :: !GOES_ON_BEHIND_CLOSE && base + 1 < oldest -> at[n] = oldest - 1
  :: else
  fi;
  holds[n] = true;
  agree(n)
}
#define CAN_LOAD(n) (LOST(n) && closed > 0 && closed >= oldest && USABLE_BASE)

/* settings.State.DeltaFrom and settings.State.Advance: node n takes what node m
   has. */
inline learn(n, m) {
  /* A node never moves to a lower offset. */
  assert(!holds[n] || at[m] >= at[n]);
  p = at[m];
  v = version[n]; x = value[n]; l = live[n];
  if
  :: !holds[n] || TOO_OLD(m, n) -> v = version[m]; x = value[m]; l = live[m]
  :: !(!holds[n] || TOO_OLD(m, n)) && version[m] > at[n] && SENT(m) -> v = version[m]; x = value[m]; l = live[m]
  :: else
  fi;
  forget();
  version[n] = v; value[n] = x; live[n] = l; at[n] = p;
  holds[n] = true;
  agree(n);
  RESET
}

init {
  d_step { holds[0] = true; holds[1] = true }
  do
  /* Writers append through nodes that lag a little or not. */
  :: d_step { next <= N -> land(SET, next - 1) }
  :: d_step { next <= N && next > 1 -> land(SET, next - 2) }
  :: d_step { next <= N && next > 2 -> land(SET, next - 3) }
  :: d_step { next <= N -> land(DELETE, next - 1) }
  :: d_step { next <= N -> land(NOISE, 0) }
  /* settingssync.Node.writeCheckpoint: a node that held the state of an earlier
     position closes the checkpoint of it now. */
  :: d_step { closed == 0 && next > 1 && next <= N -> base = next - 1; closed = next; land(CLOSE, 0) }
  :: d_step { closed == 0 && next > 2 && next <= N -> base = next - 2; closed = next; land(CLOSE, 0) }
  :: d_step { closed == 0 && next > 3 && next <= N -> base = next - 3; closed = next; land(CLOSE, 0) }

  :: d_step { oldest < next -> oldest++ }

  :: d_step { holds[0] && at[0] + 1 >= oldest && at[0] + 1 < next -> follow(0) }
  :: d_step { holds[1] && at[1] + 1 >= oldest && at[1] + 1 < next -> follow(1) }
  /* Node 1 is replaced and knows nothing. */
  :: d_step { holds[1] -> holds[1] = false; at[1] = 0; version[1] = 0; value[1] = 0; live[1] = false }
  :: d_step { LOST(0) && oldest == 1 -> load_all(0) }
  :: d_step { LOST(1) && oldest == 1 -> load_all(1) }
  :: d_step { CAN_LOAD(0) -> load_checkpoint(0, true) }
  :: d_step { CAN_LOAD(1) -> load_checkpoint(1, true) }
  :: d_step { CAN_LOAD(1) && TAKES_PARTS -> load_checkpoint(1, false) }
  :: d_step { holds[1] && LATER(1, 0) -> learn(0, 1) }
  :: d_step { holds[0] && LATER(0, 1) -> learn(1, 0) }
  :: break
  od
}
