/*
 * At-most-once execution for one idempotency key (invariants I8 and I9).
 *
 * There are two owner daemons. Either the key is opaque, and the configuration
 * makes host 0, then host 1, then host 0 again its owner; or host 0 issues the key.
 * Calls, dispatches and transfers may be lost or late. Daemons crash and lose their
 * memory, pause, and apply revisions late, as in a partition. The transitions model
 * the functions in crates/traffic/src/once*.rs; comments name the function.
 *
 * One time step is 2 s, the longest time between two events that is not a pause.
 * The repeat window and the delivery margin are one step each, so a record is
 * retained for 2 steps, and calls with an opaque key arrive at most one step after
 * the first. The margin includes the wait in the socket during a short pause. A
 * longer pause makes calls arrive later, and the ledger's clock does not advance
 * during it.
 */
// variant: NO_RECENT_START
// variant: NO_FORMER_WAIT
// variant: NO_FORMER_IN_CONFIGURATION
// variant: NO_CONFIRMATION
// variant: NO_SETTLE
// variant: NO_WHOLE_WAIT
// variant: NO_APPLIED_CHECK
// variant: NO_RUNNING_EXPORT
// variant: NO_GONE_WAIT
// variant: NO_OWNER_CHECK
// variant: NO_HAND_OVER_CHECK
// variant: NO_UNKNOWN_RECORD
// variant: NO_INCARNATION_CHECK
// variant: NO_SERIAL_FLOOR

#define KEEP 2
/* The last time step. Variant NO_CONFIRMATION needs one more step to fail. */
#ifdef NO_CONFIRMATION
#define LAST 3
#define SENDS 2
#define REVISIONS 2
#else
#define LAST 2
#define SENDS 2
#define REVISIONS 3
#endif
#define FAULTS 1  /* crashes and pauses */
#define NEVER 15

#ifdef NO_FORMER_IN_CONFIGURATION
#define SAW
#else
#define SAW hidden
#endif

/* The record of the key at a host. */
#define NONE 0
#define RUNNING 1
#define STARTED 2
#define UNKNOWN 3
#define ANSWERED 4

/* The reply of a target's daemon. */
#define RAN 1
#define REFUSED 2

byte t, first = NEVER, sends, faults, executions;
bool issued;        /* the key is issued by host 0 */
bool issuer_gone;   /* the incarnation that issued the key has ended */
bool expired;       /* the serial is below the issuer's serial floor */

byte rev[2] = 1;    /* the revision in force */
byte clk[2] = KEEP; /* the ledger's clock; both hosts started long before */
byte seen[2];       /* the time of the latest event */
bool paused[2], stale[2];
byte settled[2];    /* until this time, calls from before a pause may be read */
byte rec[2], since[2];
bool current[2];    /* the host did not pause since the run began */
byte handed[2], whole[2];  /* the completed transfer from the other host: its revision, and from when it counts */
byte gone[2];       /* one more than the time at which the other host left the host list */
byte calls[2];      /* calls in transit to the host */
byte buffered[2];   /* calls in the socket of the paused host */
byte handovers[2];  /* dispatched requests in transit to a target's daemon */
byte orphans[2];    /* dispatched requests of a run that the owner has no record of */
byte reply[2];
byte piece[2];      /* the transfer in transit from the other host: its revision */
byte piece_rec[2], piece_age[2], piece_unknown[2];
SAW byte saw[2];    /* this incarnation applied a change of owners (NO_FORMER_IN_CONFIGURATION) */

#define OWNER(r) (r == 2)
#ifdef NO_WHOLE_WAIT
#define LEFT(h) 0
#else
#define LEFT(h) (clk[h] < KEEP -> KEEP - clk[h] : 0)
#endif
#ifdef NO_APPLIED_CHECK
#define APPLIED(h) true
#define EXPORTED_REVISION(h) rev[h]
#else
#define APPLIED(h) (rev[1 - h] >= rev[h])
#define EXPORTED_REVISION(h) rev[1 - h]
#endif
#ifdef NO_RUNNING_EXPORT
#define EXPORTED(r) (r == UNKNOWN || r == ANSWERED)
#else
#define EXPORTED(r) (r != NONE)
#endif

#define HANDED(h) (handed[h] >= rev[h] && whole[h] <= clk[h])
#ifdef NO_GONE_WAIT
#define IS_GONE(h) (gone[h] != 0)
#else
#define IS_GONE(h) (gone[h] != 0 && clk[h] + 1 - gone[h] >= KEEP)
#endif
#ifdef NO_FORMER_WAIT
#define RESOLVED(h) true
#else
#ifdef NO_FORMER_IN_CONFIGURATION
#define RESOLVED(h) (rev[h] == 1 || !saw[h] || HANDED(h) || IS_GONE(h))
#else
#define RESOLVED(h) (rev[h] == 1 || HANDED(h) || IS_GONE(h))
#endif
#endif
#ifdef NO_RECENT_START
#define OLD_ENOUGH(h) true
#else
#define OLD_ENOUGH(h) (clk[h] >= KEEP)
#endif
#ifdef NO_CONFIRMATION
#define CONFIRMED(h) (clk[h] >= settled[h])
#else
#ifdef NO_SETTLE
#define CONFIRMED(h) (!stale[h])
#else
#define CONFIRMED(h) (!stale[h] && clk[h] >= settled[h])
#endif
#endif
#ifdef NO_OWNER_CHECK
#define OWNS(h) true
#else
#define OWNS(h) (OWNER(rev[h]) == h)
#endif
#ifdef NO_INCARNATION_CHECK
#define INCARNATION true
#else
#define INCARNATION (!issuer_gone)
#endif
#define UNINTERRUPTED(h) (issued || current[h])

/* The key can no longer run, so the search ends in this state. */
#define AT_REST(h) (calls[h] == 0 && buffered[h] == 0 && handovers[h] == 0 && orphans[h] == 0 && \
    rec[h] != RUNNING && rec[h] != STARTED)
#define OVER (first != NEVER && (sends == SENDS || (!issued && t > first + 1)) && AT_REST(0) && AT_REST(1))

/* OnceLedger::may_run */
#define MAY_RUN(h) ((issued && h == 0 && INCARNATION && !expired) || \
    (!issued && OWNS(h) && CONFIRMED(h) && OLD_ENOUGH(h) && RESOLVED(h)))

/* OnceLedger::begin */
inline begin(qb) {
    if
    :: rec[qb] == NONE && MAY_RUN(qb) ->
        rec[qb] = RUNNING; since[qb] = clk[qb]; current[qb] = true
    :: else
    fi
}

inline forget(qf) {
    rec[qf] = NONE; since[qf] = 0; current[qf] = false;
    orphans[qf] = orphans[qf] + handovers[qf]; handovers[qf] = 0; reply[qf] = 0
}

/* OnceLedger::finish with OnceOutcome::NotRun */
inline finish_not_run(qn) {
    if
    :: UNINTERRUPTED(qn) ->
        assert(executions == 0);  /* I8: "not run" is correct */
        forget(qn)
    :: else -> rec[qn] = UNKNOWN; current[qn] = false
    fi
}

/* OnceLedger::expire_some */
inline expire(qe) {
    if
    :: rec[qe] != NONE && since[qe] + KEEP <= clk[qe] ->
        if
        :: rec[qe] == RUNNING || rec[qe] == STARTED ->
            rec[qe] = UNKNOWN; since[qe] = clk[qe]; current[qe] = false
        :: else ->
#ifndef NO_SERIAL_FLOOR
            expired = expired || issued;
#endif
            forget(qe)
        fi
    :: else
    fi
}

inline tick(qk) {
    if
    :: !paused[qk] -> clk[qk]++; seen[qk] = t; buffered[qk] = 0; expire(qk)
    :: else
    fi
}

/* A host that resumes before it has been absent for the retention time is listed again. */
inline listed(ql) {
    if
    :: gone[ql] != 0 && !(clk[ql] + 1 - gone[ql] >= KEEP) -> gone[ql] = 0
    :: else
    fi
}

inline apply(qa, qr) {
    if
    :: rev[qa] < qr ->
        rev[qa] = qr; saw[qa] = true
    :: else
    fi
}

/* OnceLedger::import */
inline import(qi) {
    if
    :: piece_age[qi] < KEEP && rec[qi] == NONE && piece_rec[qi] != NONE ->
        rec[qi] = piece_rec[qi];
        since[qi] = (clk[qi] > piece_age[qi] -> clk[qi] - piece_age[qi] : 0)
    :: piece_age[qi] < KEEP && rec[qi] == UNKNOWN && piece_rec[qi] == ANSWERED -> rec[qi] = ANSWERED
    :: else
    fi;
    if
    :: piece[qi] > handed[qi] || clk[qi] + piece_unknown[qi] < whole[qi] ->
        handed[qi] = piece[qi]; whole[qi] = clk[qi] + piece_unknown[qi]
    :: else
    fi
}

inline lose_piece(qp) {
    piece[qp] = 0; piece_rec[qp] = 0; piece_age[qp] = 0; piece_unknown[qp] = 0
}

active [2] proctype host() provided (!OVER) {
    byte h = _pid;
end:
    do
    /* A call arrives. */
    :: d_step { !paused[h] && calls[h] > 0 && (issued || t <= first + 1) -> calls[h]--; begin(h) }
    :: d_step { !paused[h] && buffered[h] > 0 -> buffered[h]--; begin(h) }
    :: d_step { paused[h] && calls[h] > 0 && (issued || t <= first + 1) -> calls[h]--; buffered[h]++ }
    :: d_step { calls[h] > 0 -> calls[h]-- }  /* lost */

    /* OnceLedger::begin_dispatch, then the dispatch */
    :: d_step { !paused[h] && rec[h] == RUNNING && UNINTERRUPTED(h) -> rec[h] = STARTED; handovers[h]++ }
    /* The owner ends the run before a dispatch, or after a refused one. */
    :: d_step { !paused[h] && rec[h] == RUNNING -> finish_not_run(h) }
#ifdef NO_HAND_OVER_CHECK
    :: d_step { !paused[h] && rec[h] == STARTED && reply[h] == 0 -> finish_not_run(h) }
#endif
    /* OnceLedger::finish with OnceOutcome::MayHaveRun, after a timeout */
#ifdef NO_UNKNOWN_RECORD
    :: d_step { !paused[h] && rec[h] == STARTED && reply[h] == 0 -> forget(h) }
#else
    :: d_step { !paused[h] && rec[h] == STARTED && reply[h] == 0 -> rec[h] = UNKNOWN; current[h] = false }
#endif
    /* The target's daemon runs, refuses or never receives the dispatched request. */
    :: d_step { handovers[h] > 0 -> handovers[h]--; executions++; assert(executions <= 1); reply[h] = RAN }
    :: d_step { handovers[h] > 0 -> handovers[h]--; reply[h] = REFUSED }
    :: d_step { handovers[h] > 0 -> handovers[h]-- }
    :: d_step { orphans[h] > 0 -> orphans[h]--; executions++; assert(executions <= 1) }
    :: d_step { orphans[h] > 0 -> orphans[h]-- }
    /* OnceLedger::finish with OnceOutcome::Ran */
    :: d_step { !paused[h] && reply[h] == RAN -> reply[h] = 0; rec[h] = ANSWERED; current[h] = false }
    /* OnceLedger::dispatch_refused */
    :: d_step { !paused[h] && reply[h] == REFUSED ->
        reply[h] = 0;
        if
        :: rec[h] == STARTED -> rec[h] = RUNNING
        :: else
        fi }
    :: d_step { reply[h] != 0 -> reply[h] = 0 }

    /* OnceLedger::ownership_changed */
    :: d_step { !paused[h] && rev[h] < REVISIONS -> apply(h, rev[h] + 1) }
    :: d_step { !paused[h] && rev[h] + 1 < REVISIONS -> apply(h, REVISIONS) }
    /* OnceLedger::config_confirmed, after the two hosts compared their revisions. The
     * comparison shows the neighbour that the host is live, so the neighbour calls
     * OnceLedger::host_listed. */
    :: d_step { !paused[h] && stale[h] && !paused[1 - h] ->
        apply(h, rev[1 - h]); apply(1 - h, rev[h]); stale[h] = false; gone[1 - h] = 0 }
    /* OnceLedger::host_gone */
    :: d_step { !paused[h] && paused[1 - h] && gone[h] == 0 -> gone[h] = clk[h] + 1 }

    /* OnceLedger::export on the other host */
    :: d_step { !paused[h] && !paused[1 - h] && rev[h] >= 2 && OWNER(rev[h]) == h && !RESOLVED(h) &&
            piece[h] == 0 && APPLIED(h) ->
        piece[h] = EXPORTED_REVISION(h);
        piece_unknown[h] = LEFT(1 - h);
        if
        :: EXPORTED(rec[1 - h]) ->
            piece_rec[h] = (rec[1 - h] == ANSWERED -> ANSWERED : UNKNOWN);
            piece_age[h] = clk[1 - h] - since[1 - h]
        :: else
        fi }
    :: d_step { !paused[h] && piece[h] != 0 -> import(h) }
    :: d_step { !paused[h] && piece[h] != 0 -> import(h); lose_piece(h) }
    :: d_step { piece[h] != 0 -> lose_piece(h) }

    :: d_step { faults < FAULTS && !paused[h] -> faults++; paused[h] = true }
    /* OnceLedger::advance after a pause */
    :: d_step { paused[h] ->
        paused[h] = false;
        if
        :: t > seen[h] + 1 ->
            stale[h] = true; current[h] = false; settled[h] = clk[h] + 1
        :: else ->
            clk[h] = clk[h] + t - seen[h];
            if
            :: !issued && first != NEVER && t > first + 1 -> buffered[h] = 0
            :: else
            fi
        fi;
        seen[h] = t; expire(h); listed(1 - h) }
    /* A crash, and the start of a new incarnation. */
    :: d_step { faults < FAULTS ->
        faults++; forget(h);
        clk[h] = 0; seen[h] = t; stale[h] = false; settled[h] = 0; paused[h] = false;
        handed[h] = 0; whole[h] = 0; gone[h] = 0; gone[1 - h] = 0;
        calls[h] = 0; buffered[h] = 0; lose_piece(h);
        saw[h] = false;
        if
        :: h == 0 && issued -> issuer_gone = true
        :: else
        fi }
    od
}

active proctype world() provided (!OVER) {
end:
    do
    :: d_step { t < LAST -> t++; tick(0); tick(1) }
    /* An entry daemon with any revision sends the call to the owner that it computes. */
    :: d_step { sends < SENDS && !issued && (first == NEVER || t <= first + 1) ->
        sends++; calls[0]++;
        if
        :: first == NEVER -> first = t
        :: else
        fi }
    :: d_step { sends < SENDS && !issued && (first == NEVER || t <= first + 1) ->
        sends++; calls[1]++;
        if
        :: first == NEVER -> first = t
        :: else
        fi }
    :: d_step { sends < SENDS && (issued || first == NEVER) && (first != NEVER || !paused[0]) ->
        sends++; calls[0]++; issued = true;
        if
        :: first == NEVER -> first = t
        :: else
        fi }
    od
}
