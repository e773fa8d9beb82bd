// Readers of the settings: nodes that follow the log, a checkpoint that a slow
// node closes late, records that expire, a new reader without state, and nodes
// that apply deltas of each other.
//
// model: settings-readers
// twins: DROP_WHOLE DROP_BASE DROP_OLDEST DROP_CHECKPOINT_TOMBSTONE DROP_MONOTONE DROP_DELTA_WINDOW DROP_DELTA_TOMBSTONE
//
// There is one path. Each record sets it, deletes it, or is of another path; the
// as-of offset of a write is one of the last three. Positions are offsets plus
// one; 0 is the state before the first record. settings-writes.pml checks that
// the verdicts are correct; here all readers must reach the same ones.

#define N 5       /* records in the log at most */
#define K 2       /* settings.WriteWindow */
#define SET 1
#define DELETE 2
#define OPS 2
#define OTHER_PATH 3 /* record of another path */
#define CLOSE 4   /* record that closes the checkpoint */
#define NODES 2

/* The log. */
byte kind[N+1];
byte record_as_of[N+1];
byte next = 1;    /* position of the next append */
byte oldest = 1;  /* oldest position that has not expired */

/* The state at each position for a reader that has applied all records. */
byte true_version[N+1];
byte true_value[N+1];
bool true_live[N+1];

/* Nodes. */
bool loaded[NODES];
byte at[NODES];
byte version[NODES];
byte value[NODES];
bool live[NODES];

/* The checkpoint: positions of its state and of its closing record. */
byte base = 0;
byte closed = 0;

/* Guards that the twins drop. */
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
#define TAKES_INCOMPLETE true
#else
#define TAKES_INCOMPLETE false
#endif
#ifdef DROP_OLDEST
#define USABLE_BASE true
#else
#define USABLE_BASE (base + 1 >= oldest)
#endif
#ifdef DROP_BASE
#define RESUMES_AFTER_CLOSE true
#else
#define RESUMES_AFTER_CLOSE false
#endif
#ifdef DROP_CHECKPOINT_TOMBSTONE
#define CHECKPOINT_LACKS_TOMBSTONES true
#else
#define CHECKPOINT_LACKS_TOMBSTONES false
#endif
#ifdef DROP_MONOTONE
#define IS_NEWER(a, b) true
#else
#define IS_NEWER(a, b) (!loaded[b] || at[a] > at[b])
#endif
#ifdef DROP_DELTA_WINDOW
#define TOO_OLD(a, b) false
#else
#define TOO_OLD(a, b) (at[a] - at[b] > K)
#endif
#ifdef DROP_DELTA_TOMBSTONE
#define IN_DELTA(a) live[a]
#else
#define IN_DELTA(a) true
#endif

/* Scratch variables of one step; reset at its end. */
byte v, x, p;
bool l, ok;
#define RESET v = 0; x = 0; p = 0; l = false; ok = false

/* settings.State.decide and settings.State.applyWrite: applies the record at
   position p to (v, x, l). Sets ok if it is an accepted write. */
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
  drop_tombstone()
}

/* settings.State.dropTombstones */
inline drop_tombstone() {
  if
  :: !l && v > 0 && p - v > K -> v = 0; x = 0
  :: else
  fi
}

/* The platform's log appends a record. */
inline append_record(what, since) {
  kind[next] = what;
  record_as_of[next] = since;
  p = next;
  v = true_version[next-1]; x = true_value[next-1]; l = true_live[next-1];
  fold();
  true_version[next] = v; true_value[next] = x; true_live[next] = l;
  next++;
  RESET
}

/* A reader has the true state of its position. */
inline agree(n) {
  assert(version[n] == true_version[at[n]] && value[n] == true_value[at[n]] && live[n] == true_live[at[n]])
}

/* settingssync.Node.followOnce: node n reads and applies one record. */
inline follow(n) {
  p = at[n] + 1;
  v = version[n]; x = value[n]; l = live[n];
  fold();
  version[n] = v; value[n] = x; live[n] = l; at[n] = p;
  agree(n);
  RESET
}

/* A node loads from the log if it has no state, or if the next record that it
   needs has expired. */
#define NEEDS_LOAD(n) (!loaded[n] || at[n] + 1 < oldest)

/* settingssync.loadFromLog: node n applies the log from its start. */
inline load_all(n) {
  at[n] = 0; version[n] = 0; value[n] = 0; live[n] = false;
  loaded[n] = true
}

/* settingssync.newestCheckpoint and settings.Restore: node n loads the
   checkpoint, of which a chunk may be missing. */
inline load_checkpoint(n, whole) {
  at[n] = base;
  version[n] = true_version[base]; value[n] = true_value[base]; live[n] = true_live[base];
  if
  :: !whole || (CHECKPOINT_LACKS_TOMBSTONES && !live[n]) -> version[n] = 0; value[n] = 0; live[n] = false
  :: else
  fi;
  if
  :: RESUMES_AFTER_CLOSE -> at[n] = closed
  :: !RESUMES_AFTER_CLOSE && base + 1 < oldest -> at[n] = oldest - 1
  :: else
  fi;
  loaded[n] = true;
  agree(n)
}
#define CAN_LOAD_CHECKPOINT(n) (NEEDS_LOAD(n) && closed > 0 && closed >= oldest && USABLE_BASE)

/* settings.State.DeltaFrom and settings.State.Advance: node n applies a delta of
   node m. */
inline apply_delta(n, m) {
  /* A node never moves to a lower offset. */
  assert(!loaded[n] || at[m] >= at[n]);
  p = at[m];
  v = version[n]; x = value[n]; l = live[n];
  if
  :: !loaded[n] || TOO_OLD(m, n) -> v = version[m]; x = value[m]; l = live[m]
  :: !(!loaded[n] || TOO_OLD(m, n)) && version[m] > at[n] && IN_DELTA(m) -> v = version[m]; x = value[m]; l = live[m]
  :: else
  fi;
  drop_tombstone();
  version[n] = v; value[n] = x; live[n] = l; at[n] = p;
  loaded[n] = true;
  agree(n);
  RESET
}

init {
  d_step { loaded[0] = true; loaded[1] = true }
  do
  /* Writers append through nodes that lag by none to two records. */
  :: d_step { next <= N -> append_record(SET, next - 1) }
  :: d_step { next <= N && next > 1 -> append_record(SET, next - 2) }
  :: d_step { next <= N && next > 2 -> append_record(SET, next - 3) }
  :: d_step { next <= N -> append_record(DELETE, next - 1) }
  :: d_step { next <= N -> append_record(OTHER_PATH, 0) }
  /* settingssync.Node.writeCheckpoint: a node closes the checkpoint of the state
     at an earlier position. */
  :: d_step { closed == 0 && next > 1 && next <= N -> base = next - 1; closed = next; append_record(CLOSE, 0) }
  :: d_step { closed == 0 && next > 2 && next <= N -> base = next - 2; closed = next; append_record(CLOSE, 0) }
  :: d_step { closed == 0 && next > 3 && next <= N -> base = next - 3; closed = next; append_record(CLOSE, 0) }

  /* The oldest record expires. */
  :: d_step { oldest < next -> oldest++ }

  :: d_step { loaded[0] && at[0] + 1 >= oldest && at[0] + 1 < next -> follow(0) }
  :: d_step { loaded[1] && at[1] + 1 >= oldest && at[1] + 1 < next -> follow(1) }
  /* Node 1 is replaced by one without state. */
  :: d_step { loaded[1] -> loaded[1] = false; at[1] = 0; version[1] = 0; value[1] = 0; live[1] = false }
  :: d_step { NEEDS_LOAD(0) && oldest == 1 -> load_all(0) }
  :: d_step { NEEDS_LOAD(1) && oldest == 1 -> load_all(1) }
  :: d_step { CAN_LOAD_CHECKPOINT(0) -> load_checkpoint(0, true) }
  :: d_step { CAN_LOAD_CHECKPOINT(1) -> load_checkpoint(1, true) }
  :: d_step { CAN_LOAD_CHECKPOINT(1) && TAKES_INCOMPLETE -> load_checkpoint(1, false) }
  :: d_step { loaded[1] && IS_NEWER(1, 0) -> apply_delta(0, 1) }
  :: d_step { loaded[0] && IS_NEWER(0, 1) -> apply_delta(1, 0) }
  :: break
  od
}
