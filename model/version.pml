/*
 * Distribution and validation of versions: crates/control/src/{ledger,
 * peer_fetch,platform_fetch,apply}.rs. The comment at each transition names the
 * functions there.
 *
 * Two daemons may both read the platform. The platform may be stale: a read
 * returns any version at any time. Messages are never removed, so they arrive
 * late, repeatedly, out of order or not at all, including those from before a
 * restart of their sender. A paused daemon is one that takes no step. A restart
 * clears the memory of a daemon.
 *
 * crates/control/tests/model.rs explores the same state space with the Rust
 * ledger and compares the number of reachable states. spin must therefore store
 * all variables: it resets those that are not read again, unless the model has C
 * code (or is compiled with spin -o2).
 */

// variant: NO_REVISION_GUARD
// variant: NO_CONFLICT_GUARD
// variant: NO_ACCEPT_GUARD
// variant: NO_HEAD_GUARD
// variant: NO_WHOLE_GUARD
// variant: NO_DIGEST_GUARD

#define NODES 2

/*
 * Versions: 1 is revision 1; 2 and 3 are two contents of revision 2; 4 is
 * revision 3, whose content is invalid. 0 means no version.
 */
#define rev(m) ((m) - ((m) > 2))
#define bad(m) ((m) == 4)

byte force[NODES];   /* the version in force */
byte staged[NODES];  /* the version being fetched */
byte got[NODES];     /* the version that the index was updated to */
bit judged[NODES];   /* fetched from a peer, whose head says that it is valid */
bit held[NODES];     /* no part is missing */
bit refused[NODES];  /* version 4 was refused here */
byte sent;           /* all heads ever sent: bit m for version m */
bit sentbad;         /* a head that reports version 4 as refused was sent */

/* VersionLedger::compare, true for VersionComparison::Newer. */
#ifdef NO_REVISION_GUARD
#define older(i, m) false
#else
#define older(i, m) (rev(m) < rev(force[i]))
#endif
#ifdef NO_CONFLICT_GUARD
#define conflict(i, m) false
#else
#define conflict(i, m) (rev(m) == rev(force[i]) && (m) != force[i])
#endif
#define newer(i, m) (!(bad(m) && refused[i]) && (m) != force[i] \
    && !older(i, m) && !conflict(i, m))

inline clear(i) {
    staged[i] = 0; got[i] = 0; judged[i] = 0; held[i] = 0
}

/* ControlMachine::handle_root and try_platform_fetch, with any version that the
 * platform may return. */
inline see_root(i, m) {
    staged[i] = m; judged[i] = 0
}

/* ControlMachine::handle_head and try_peer_fetch. */
inline hear_head(i, m) {
    staged[i] = m; judged[i] = 1
}

/* ControlMachine::apply_delta, apply_page_reply and finish_pages: a reply for
 * another version does not match the root digest and is discarded. */
inline take_delta(i, m) {
    got[i] = m
}

/* ControlMachine::store_parts and store_value, until the last missing part. */
inline take_parts(i) {
    held[i] = 1
}

/* ControlMachine::try_complete: refuse or activate. */
inline complete(i) {
    if
#ifndef NO_ACCEPT_GUARD
    :: bad(got[i]) && !judged[i] ->
        refused[i] = 1;
        sentbad = 1
#endif
    :: else ->
        if
        :: newer(i, staged[i]) ->
            /* I1: no daemon returns to an older revision. */
            assert(rev(staged[i]) >= rev(force[i]));
            /* The content of a revision in force never changes. */
            assert(force[i] == 0 || rev(staged[i]) != rev(force[i]));
            /* I3: a refused version is never in force. */
            assert(!bad(got[i]));
            /* I2: no part of a version in force is missing. */
            assert(held[i]);
            /* The content is that of the announced version. */
            assert(got[i] == staged[i]);
            force[i] = staged[i];
            sent = sent | (1 << staged[i])
        :: else
        fi
    fi;
    clear(i)
}

/* ControlMachine::abort_peer_fetch and end_platform_fetch. */
inline give_up(i) {
    clear(i)
}

inline restart(i) {
    c_code { /* stores all variables, see above */ };
    force[i] = 0; refused[i] = 0;
    clear(i)
}

#ifdef NO_HEAD_GUARD
#define heard(m) ((sent & (1 << (m))) || (bad(m) && sentbad))
#else
#define heard(m) (sent & (1 << (m)))
#endif

#ifdef NO_DIGEST_GUARD
#define fits(i, m) true
#else
#define fits(i, m) ((m) == staged[i])
#endif

#ifdef NO_WHOLE_GUARD
#define whole(i) true
#else
#define whole(i) held[i]
#endif

#define read_or_hear(i, m) \
    :: d_step { staged[i] == 0 && newer(i, m) -> see_root(i, m) } \
    :: d_step { staged[i] == 0 && heard(m) && newer(i, m) -> hear_head(i, m) } \
    :: d_step { staged[i] != 0 && got[i] == 0 && fits(i, m) -> take_delta(i, m) }

#define daemon(i) \
    read_or_hear(i, 1) \
    read_or_hear(i, 2) \
    read_or_hear(i, 3) \
    read_or_hear(i, 4) \
    :: d_step { got[i] != 0 && !held[i] -> take_parts(i) } \
    :: d_step { got[i] != 0 && whole(i) -> complete(i) } \
    :: d_step { staged[i] != 0 -> give_up(i) } \
    :: d_step { force[i] != 0 || refused[i] || staged[i] != 0 -> restart(i) }

active proctype world() {
    do
    daemon(0)
    daemon(1)
    od
}
