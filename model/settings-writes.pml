// Writes of settings through the platform's log: operators that race on one
// path, lost answers, appends that land late or twice, deletions, and a writer
// whose node is moved past records by a peer or a checkpoint.
//
// model: settings-writes
// twins: DROP_VERSION DROP_WINDOW DROP_TOMBSTONE DROP_RETRY_AS_OF DROP_READ_BACK DROP_UNKNOWN DROP_FIRST
//
// There is one path with three operations on it (two values and a deletion),
// and records of other paths, which only move the offsets on. Positions are
// offsets plus one; 0 is the state before the first record.

#define N 7       /* records in the log at most */
#define K 2       /* settings.Window */
#define OPS 3
#define DELETE 3  /* the operation that deletes */
#define NOISE 4   /* record of another path */

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

/* Ghosts over the whole history. */
byte last_accepted;
bool accepted[OPS+1];

/* Operations. The first is tried twice, and its answers may be lost. */
byte as_of[OPS+1];
bool sent[OPS+1];
byte sends;       /* of operation 1 */
bool maybe;       /* operation 1 may be in the log */
byte pending;     /* appends of operation 1 that may still land */
byte said;        /* answer to operation 1 */
bool missed;      /* its node was moved past its as-of position */
#define ACCEPTED 1
#define REJECTED 2
#define NOT_ACCEPTED 3

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
#ifdef DROP_UNKNOWN
#define UNSURE false
#else
#define UNSURE maybe
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
#define FIRST true
#else
#define FIRST (!missed)
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

/* The writer of operation 1 answers its operator. */
inline answer(what_it_says) {
  said = what_it_says; sends = 2; maybe = false; missed = false
}

/* The platform takes a record: one of an operation, or NOISE. */
inline land(what, since) {
  kind[next] = what;
  record_as_of[next] = since;
  p = next;
  v = end_version; x = end_value; l = end_live;
  fold();
  end_version = v; end_value = x; end_live = l;
  if
  :: ok ->
     /* No accepted write is undone by one that had not seen it. */
     assert(last_accepted <= since);
     /* No write takes effect twice, so nothing reverts or comes back. */
     assert(!accepted[what]);
     /* An answer is final. */
     assert(what != 1 || (said != REJECTED && said != NOT_ACCEPTED));
     accepted[what] = true;
     last_accepted = next
  :: else
  fi;
  next++;
  RESET
}

/* settingssync.Node.followOnce: the node of operation 1 folds one record.
   settingssync.store.remember and judgedResult: a landing answers the writer. */
inline follow() {
  p = at + 1;
  v = version; x = value; l = live;
  fold();
  version = v; value = x; live = l; at = p;
  if
  :: kind[p] == 1 && said == 0 && sends > 0 && ok -> answer(ACCEPTED); assert(accepted[1])
  :: kind[p] == 1 && said == 0 && sends > 0 && !ok && FIRST -> answer(REJECTED); assert(!accepted[1])
  :: else   /* another record, or the answer is "unknown" */
  fi;
  RESET
}

init {
  do
  /* settingssync.Node.prepare and appendAndAwait: operation 1 notes the position
     that its node has read, is appended, and appended again with the same
     position while its fate is not known. */
  :: atomic {
       sends < 2 && said == 0 && next <= N ->
       if
       :: AS_OF_AGAIN -> as_of[1] = at
       :: else
       fi;
       sends++;
       if
       :: true -> sends = 2; maybe = true; d_step { land(1, as_of[1]) }  /* answered: reads it back */
          if
          :: ANSWERED_EARLY -> assert(accepted[1])
          :: else
          fi
       :: true -> maybe = true; d_step { land(1, as_of[1]) }             /* answer lost */
       :: true -> pending++; maybe = true                                /* timeout; lands later */
       :: true                                                           /* refused for certain */
       fi
     }
  :: d_step { pending > 0 && next <= N -> pending--; land(1, as_of[1]) }
  /* settingssync.Node.appendAndAwait: the deadline passes. */
  :: d_step { sends > 0 && said == 0 && !UNSURE -> answer(NOT_ACCEPTED); assert(!accepted[1]) }

  /* Two other operators, through nodes that lag behind the log's end or not. */
  :: atomic {
       !sent[2] && next <= N ->
       sent[2] = true;
       if
       :: true -> as_of[2] = next - 1
       :: next > 1 -> as_of[2] = next - 2
       :: next > 2 -> as_of[2] = next - 3
       fi;
       d_step { land(2, as_of[2]) }
     }
  :: atomic {
       !sent[3] && next <= N ->
       sent[3] = true;
       if
       :: true -> as_of[3] = next - 1
       :: next > 1 -> as_of[3] = next - 2
       :: next > 2 -> as_of[3] = next - 3
       fi;
       d_step { land(3, as_of[3]) }
     }
  :: d_step { next <= N -> land(NOISE, 0) }

  /* The node reads the log, or is moved to the log's end by a peer or a
     checkpoint (settingssync.store.advance and install). */
  :: d_step { at + 1 < next -> follow() }
  :: d_step {
       at + 1 < next ->
       at = next - 1; version = end_version; value = end_value; live = end_live;
       if
       :: sends > 0 && said == 0 && as_of[1] < at -> missed = true
       :: else
       fi
     }
  :: break
  od
}
