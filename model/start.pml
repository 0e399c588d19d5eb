/*
 * Starts of three sources. A source that starts again asks its peers whether its disk was rolled back. It
 * waits for their answers, and supports no candidate whose log ends before theirs (the vote floor). Both end
 * after a time, since a peer may be gone for good.
 *
 * Bounds: each source starts again at most STARTS times, at most one is gone for good, and one entry is
 * appended by a leader, which may not be able to commit it.
 *
 * Liveness: once no more sources stop or start, with two or more of them running, there is a leader.
 *
 * Variants: WAITS_FOR_ALL, FLOOR_KEPT.
 */

#define S 3
#ifndef STARTS
#define STARTS 2
#endif

bool up[S];
bool confirmed[S];
bool gone[S];
/* Whether the log of a source ends with the appended entry. */
bool longer[S];
/* The peers that have answered since the start, as a mask, and whether one of them has the longer log. */
byte answered[S];
bool floorIsLonger[S];
byte starts[S];
bool isAppended;
bool isSettled;
bool hasLeader;

#define others(x) (7 - (1 << x))
#define running (up[0] + up[1] + up[2])

#ifdef WAITS_FOR_ALL
#define may_confirm(x) (answered[x] == others(x))
#else
/* The wait for answers has ended. */
#define may_confirm(x) true
#endif

/* Up to here the answers of a source that has ended stay in force. */
#ifdef FLOOR_KEPT
#define FLOOR_ENDS(x)
#else
#define FLOOR_ENDS(x) :: d_step { up[x] && confirmed[x] && floorIsLonger[x]; floorIsLonger[x] = false }
#endif

#define STOP(x) \
    :: d_step { !isSettled && up[x]; \
        up[x] = false; confirmed[x] = false; answered[x] = 0; floorIsLonger[x] = false }

#define START(x) \
    :: d_step { !isSettled && !up[x] && !gone[x] && starts[x] < STARTS; starts[x]++; up[x] = true }

#define LEAVE(x) :: d_step { !isSettled && !up[x] && !gone[0] && !gone[1] && !gone[2]; gone[x] = true }

/* Source y answers the notice of source x. */
#define ANSWER(x, y) \
    :: d_step { up[x] && !confirmed[x] && up[y] && !((answered[x] >> y) & 1); \
        answered[x] = answered[x] | (1 << y); \
        floorIsLonger[x] = floorIsLonger[x] || longer[y] }

#define CONFIRM(x) :: d_step { up[x] && !confirmed[x] && may_confirm(x); confirmed[x] = true }

/* A leader appends an entry that its peers may never receive. */
#define APPEND(x) \
    :: d_step { !isSettled && !isAppended && up[x] && confirmed[x]; isAppended = true; longer[x] = true }

#define supports(y, x) (up[y] && confirmed[y] && longer[x] >= longer[y] && longer[x] >= floorIsLonger[y])

/* Source x becomes the leader with the votes of itself and of y, at last after all stops and starts. */
#define ELECT(x, y) :: d_step { isSettled && !hasLeader && supports(x, x) && supports(y, x); hasLeader = true }

active [1] proctype sources() {
    d_step {
        up[0] = true; up[1] = true; up[2] = true;
        confirmed[0] = true; confirmed[1] = true; confirmed[2] = true
    }
end:
    do
    STOP(0) STOP(1) STOP(2)
    START(0) START(1) START(2)
    LEAVE(0) LEAVE(1) LEAVE(2)
    ANSWER(0, 1) ANSWER(0, 2) ANSWER(1, 0) ANSWER(1, 2) ANSWER(2, 0) ANSWER(2, 1)
    CONFIRM(0) CONFIRM(1) CONFIRM(2)
    APPEND(0) APPEND(1) APPEND(2)
    FLOOR_ENDS(0) FLOOR_ENDS(1) FLOOR_ENDS(2)
    ELECT(0, 1) ELECT(0, 2) ELECT(1, 0) ELECT(1, 2) ELECT(2, 0) ELECT(2, 1)
    :: d_step { !isSettled && running >= 2; isSettled = true }
    od
}

ltl leads { [] (isSettled -> <> hasLeader) }
