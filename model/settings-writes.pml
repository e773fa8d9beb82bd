// Writes of settings through the platform's log: operators that race on one
// path, lost answers, appends that take effect late or twice, deletions, and a
// writer whose node skips records because of a delta or a checkpoint.
//
// model: settings-writes
// twins: DROP_VERSION DROP_WINDOW DROP_TOMBSTONE DROP_RETRY_AS_OF DROP_READ_BACK DROP_UNKNOWN DROP_FIRST
//
// There is one path with three operations on it (two values and a deletion), and
// records of other paths, which only advance the offset. Positions are offsets
// plus one; 0 is the state before the first record.

#define N 7       /* records in the log at most */
#define K 2       /* settings.WriteWindow */
#define OPS 3
#define DELETE 3  /* the operation that deletes */
#define OTHER_PATH 4 /* record of another path */

/* The log. */
byte kind[N+1];
byte record_as_of[N+1];
byte next = 1;    /* position of the next append */

/* The state at the log's end, and at the position that the node of operation 1
   has reached: version, operation that wrote it, and whether it is live. */
byte end_version, end_value;
bool end_live;
byte at, version, value;
bool live;

/* Ghost variables over the whole history, for the assertions. */
byte last_accepted;
bool accepted[OPS+1];

/* Operations. The first is appended up to twice, and answers to it may be lost. */
byte as_of[OPS+1];
bool sent[OPS+1];
byte sends;          /* attempts to append operation 1; 2: no more */
bool maybe_appended; /* operation 1 may be in the log */
byte pending;        /* appends of operation 1 that may still take effect */
byte outcome;        /* answer to operation 1; 0: none */
bool skipped;        /* its node skipped records after its as-of position */
#define ACCEPTED 1
#define REJECTED 2
#define NOT_ACCEPTED 3

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
#ifdef DROP_UNKNOWN
#define UNSURE false
#else
#define UNSURE maybe_appended
#endif
#ifdef DROP_RETRY_AS_OF
#define AS_OF_AGAIN true
#else
#define AS_OF_AGAIN (sends == 0)
#endif
#ifdef DROP_READ_BACK
#define ANSWERED_EARLY true
#else
#define ANSWERED_EARLY false
#endif
#ifdef DROP_FIRST
#define NONE_SKIPPED true
#else
#define NONE_SKIPPED (!skipped)
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

/* The writer of operation 1 answers its operator. */
inline answer(status) {
  outcome = status; sends = 2; maybe_appended = false; skipped = false
}

/* The platform's log appends the record of an operation, or OTHER_PATH. */
inline append_record(what, since) {
  kind[next] = what;
  record_as_of[next] = since;
  p = next;
  v = end_version; x = end_value; l = end_live;
  fold();
  end_version = v; end_value = x; end_live = l;
  if
  :: ok ->
     /* An accepted write is not overwritten by one whose writer had not read it. */
     assert(last_accepted <= since);
     /* No write takes effect twice, so no value reverts or reappears. */
     assert(!accepted[what]);
     /* An answer is final. */
     assert(what != 1 || (outcome != REJECTED && outcome != NOT_ACCEPTED));
     accepted[what] = true;
     last_accepted = next
  :: else
  fi;
  next++;
  RESET
}

/* settingssync.Node.followOnce: the node of operation 1 applies one record.
   settingssync.store.remember and resultOf: the record of a write that is read
   back answers the writer. */
inline follow() {
  p = at + 1;
  v = version; x = value; l = live;
  fold();
  version = v; value = x; live = l; at = p;
  if
  :: kind[p] == 1 && outcome == 0 && sends > 0 && ok -> answer(ACCEPTED); assert(accepted[1])
  :: kind[p] == 1 && outcome == 0 && sends > 0 && !ok && NONE_SKIPPED -> answer(REJECTED); assert(!accepted[1])
  :: else   /* another record, or the answer is "unknown" */
  fi;
  RESET
}

init {
  do
  /* settingssync.Node.prepare and appendAndAwait: operation 1 records the position
     that its node has read, is appended, and appended again with the same
     position while it is unknown whether the append took effect. */
  :: atomic {
       sends < 2 && outcome == 0 && next <= N ->
       if
       :: AS_OF_AGAIN -> as_of[1] = at
       :: else
       fi;
       sends++;
       if
       /* The append is answered; the node reads the record back. */
       :: true -> sends = 2; maybe_appended = true; d_step { append_record(1, as_of[1]) }
          if
          :: ANSWERED_EARLY -> assert(accepted[1])
          :: else
          fi
       /* The answer is lost. */
       :: true -> maybe_appended = true; d_step { append_record(1, as_of[1]) }
       /* The append times out and may take effect later. */
       :: true -> pending++; maybe_appended = true
       /* The append is certainly refused. */
       :: true
       fi
     }
  :: d_step { pending > 0 && next <= N -> pending--; append_record(1, as_of[1]) }
  /* settingssync.Node.appendAndAwait: the deadline passes. */
  :: d_step { sends > 0 && outcome == 0 && !UNSURE -> answer(NOT_ACCEPTED); assert(!accepted[1]) }

  /* Two other operators, through nodes that lag behind the log's end or not. */
  :: atomic {
       !sent[2] && next <= N ->
       sent[2] = true;
       if
       :: true -> as_of[2] = next - 1
       :: next > 1 -> as_of[2] = next - 2
       :: next > 2 -> as_of[2] = next - 3
       fi;
       d_step { append_record(2, as_of[2]) }
     }
  :: atomic {
       !sent[3] && next <= N ->
       sent[3] = true;
       if
       :: true -> as_of[3] = next - 1
       :: next > 1 -> as_of[3] = next - 2
       :: next > 2 -> as_of[3] = next - 3
       fi;
       d_step { append_record(3, as_of[3]) }
     }
  :: d_step { next <= N -> append_record(OTHER_PATH, 0) }

  /* The node reads the log, or is moved to the log's end by a peer or a
     checkpoint, and so skips records (settingssync.store.advance and install). */
  :: d_step { at + 1 < next -> follow() }
  :: d_step {
       at + 1 < next ->
       at = next - 1; version = end_version; value = end_value; live = end_live;
       if
       :: sends > 0 && outcome == 0 && as_of[1] < at -> skipped = true
       :: else
       fi
     }
  :: break
  od
}
