/*
 * Distribution and acceptance of versions: crates/control/src/{ledger,pull,
 * read,apply}.rs. Transitions bear the names of the functions there.
 *
 * Two daemons that may both read the platform. The platform is stale at will:
 * a read gives any version at any time. Messages are never removed, so they
 * arrive late, repeated, crossed or not at all, also those of an earlier life
 * of their sender. A paused daemon is one that takes no step. A restart empties
 * the memory of a daemon.
 *
 * crates/control/tests/model.rs explores the same world with the Rust ledger
 * and compares the number of reachable states. spin must therefore store all
 * variables: it resets those that are not read again, unless the model has C
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
 * revision 3, whose content is to be refused. 0 is none.
 */
#define rev(m) ((m) - ((m) > 2))
#define bad(m) ((m) == 4)

byte force[NODES];   /* the version in force */
byte staged[NODES];  /* the version being fetched */
byte got[NODES];     /* the version that the index was moved to */
bit judged[NODES];   /* fetched from a peer, whose head brought the verdict */
bit held[NODES];     /* no part is missing */
bit refused[NODES];  /* version 4 was refused here */
byte sent;           /* heads that were ever sent: bit m for version m */
bit sentbad;         /* a head that names version 4 as refused */

/* VersionLedger::judge, true for HeadVerdict::Newer. */
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

/* ControlMachine::see_root and try_read, with any version the platform has. */
inline see_root(i, m) {
    staged[i] = m; judged[i] = 0
}

/* ControlMachine::hear_head and try_pull. */
inline hear_head(i, m) {
    staged[i] = m; judged[i] = 1
}

/* ControlMachine::take_delta, take_pages, finish_pages: a crossed reply leads
 * to another root and is discarded. */
inline take_delta(i, m) {
    got[i] = m
}

/* ControlMachine::take_parts and take_value, up to the last part. */
inline take_parts(i) {
    held[i] = 1
}

/* ControlMachine::complete: refuse, or enforce. */
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
            /* I1: no daemon goes back. */
            assert(rev(staged[i]) >= rev(force[i]));
            /* A revision never changes its content. */
            assert(force[i] == 0 || rev(staged[i]) != rev(force[i]));
            /* I3: a refused version is never in force. */
            assert(!bad(got[i]));
            /* I2: a version in force is whole. */
            assert(held[i]);
            /* The content is the one that the head named. */
            assert(got[i] == staged[i]);
            force[i] = staged[i];
            sent = sent | (1 << staged[i])
        :: else
        fi
    fi;
    clear(i)
}

/* ControlMachine::give_up and end_read. */
inline give_up(i) {
    clear(i)
}

inline restart(i) {
    c_code { /* see above */ };
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
