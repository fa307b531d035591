/*
 * Draining (invariants I5 and I10): a new revision evacuates a failure domain,
 * or a target's host announces that it is leaving, while daemons pause and lag.
 *
 * Modelled are a sender outside the domain and the receiving daemon of a target
 * in it. Names of design sections 5 and 6: TargetPicker::pick and RouteTable at
 * the sender, TargetAdmission::admit at the receiver, the freshness check at
 * both, LeavingNotice. A time step is 2 s. A running daemon gets a new revision
 * within one step; work may start until 2 steps (5 s, rounded down) after the
 * change.
 */
// variant: NO_RECEIVER_REFUSAL
// variant: NO_LEAVING_REFUSAL
// variant: NO_RECEIVER_FRESHNESS
// variant: NO_HEAD_EXCHANGE

#define LAST 5
#define LIMIT 2
#define SENDS 3
#define PAUSES 2
#define NEVER 15
#define SENDER 0
#define RECEIVER 1

byte t, sends, pauses, started;
byte out_at = NEVER;    /* time of the revision that evacuates the domain */
byte left_at = NEVER;   /* time at which the receiver started to leave */
byte rev[2] = 1;
byte seen[2];
bool paused[2], stale[2];
bool told;              /* the sender has received the LeavingNotice */
byte calls;             /* calls in transit, with unbounded delay */

#define OUT (out_at != NEVER)
#define HAS_VERSION(h) (paused[h] || stale[h] || rev[h] == 2)
#ifdef NO_RECEIVER_REFUSAL
#define ADMITS_REVISION true
#else
#define ADMITS_REVISION (rev[RECEIVER] == 1)
#endif
#ifdef NO_LEAVING_REFUSAL
#define ADMITS_LEAVING true
#else
#define ADMITS_LEAVING (left_at == NEVER)
#endif
#ifdef NO_RECEIVER_FRESHNESS
#define FRESH true
#else
#define FRESH (!stale[RECEIVER])
#endif

inline tick(k) {
    if
    :: !paused[k] -> seen[k] = t
    :: else
    fi
}

active [2] proctype daemon() {
    byte h = _pid;
end:
    do
    /* A new revision comes into force. */
    :: d_step { !paused[h] && OUT && rev[h] == 1 -> rev[h] = 2 }
    /* A daemon processes received messages before it can pause again. Otherwise
     * two consecutive pauses, each too short to be detected, could add up. */
    :: d_step { pauses < PAUSES && !paused[h] && (!OUT || t == out_at || stale[h] || rev[h] == 2) ->
        pauses++; paused[h] = true }
    :: d_step { paused[h] ->
        paused[h] = false;
        stale[h] = stale[h] || t > seen[h] + 1;
        seen[h] = t }
    /* The freshness check: a running peer has the revision after one step. */
    :: d_step { !paused[h] && stale[h] ->
        stale[h] = false;
        if
#ifndef NO_HEAD_EXCHANGE
        :: OUT && t > out_at -> rev[h] = 2
#endif
        :: else
        fi }
    od
}

active proctype world() {
end:
    do
    :: d_step { t < LAST && (!OUT || t == out_at || (HAS_VERSION(SENDER) && HAS_VERSION(RECEIVER))) ->
        t++; tick(SENDER); tick(RECEIVER) }
    :: d_step { !OUT -> out_at = t }
    :: d_step { left_at == NEVER && !paused[RECEIVER] -> left_at = t }
    /* The sender receives the LeavingNotice. */
    :: d_step { left_at != NEVER && !told && !paused[SENDER] -> told = true }
    /* TargetPicker::pick */
    :: d_step { sends < SENDS && !paused[SENDER] && !stale[SENDER] && rev[SENDER] == 1 && !told ->
        sends++; calls++ }
    /* TargetAdmission::admit */
    :: d_step { calls > 0 && !paused[RECEIVER] && FRESH && ADMITS_REVISION && ADMITS_LEAVING ->
        calls--; started++;
        assert(!OUT || t < out_at + LIMIT);                  /* I5 */
        assert(left_at == NEVER || t < left_at + LIMIT) }    /* I10 */
    /* The call is refused with "not run", or lost. */
    :: d_step { calls > 0 -> calls-- }
    od
}
