/*
 * The quota of one workspace over two data centres, each with one source and one node, in discrete time. A
 * node in touch admits all requests until its source states a limit; out of touch it keeps to its half of
 * the quota. A source counts the requests of both nodes, those of the other data centre a tick late; once
 * the other source is silent, it keeps to its half. Processes stop and start without state, the data
 * centres are cut off from each other, and the limit is lowered.
 *
 * Property: all admissions together fit into one token bucket of the quota, but for OVERSHOOT, which covers
 * the delays of reports and of noticing a silence (with 5 in place of 6, the search finds a violation).
 *
 * Variants: SIDE_USES_WHOLE, ALONE_UNLIMITED, ALONE_ROUNDS_UP, DEBT_DROPPED, RESTART_FULL, NODE_RESTART_FULL,
 * SHARES_END_DEBT, OLD_LIMIT_KEPT.
 */

#define DEMAND 2    /* the most requests at one node in a tick */
#define DETECT 1    /* ticks after which a silence is noticed */
#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef OVERSHOOT
#define OVERSHOOT 6
#endif
#define MAXDEBT 12

byte rate = 2;              /* of both nodes together, each tick; the burst is as large */
byte oldRate = 2;
short bucket = 2 + OVERSHOOT;
bool cut;
bool up[2] = true;
short tokens[2];            /* of the sources */
short own[2];               /* of the nodes */
byte sourceSilent[2];       /* ticks since the other source was heard */
byte nodeSilent[2];         /* ticks since the source was heard */
bool limited[2];            /* as the source has stated it last */
bool mustRepay[2];
byte used[2], told[2];
byte faults, n, d;

#define min(a, b) ((a) < (b) -> (a) : (b))
#define max(a, b) ((a) > (b) -> (a) : (b))
#ifdef OLD_LIMIT_KEPT
#define QUOTA oldRate
#else
#define QUOTA rate
#endif
#ifdef ALONE_ROUNDS_UP
#define HALF QUOTA
#else
#define HALF (QUOTA / 2)
#endif

inline fault() {
    if
    :: true
    :: faults < FAULTS -> faults++; cut = !cut
    :: faults < FAULTS && up[0] -> faults++; up[0] = false; up[1] = false
    :: faults < FAULTS && up[1] -> faults++; up[1] = false
    :: faults < FAULTS -> faults++; own[0] = 0; mustRepay[0] = false; nodeSilent[0] = DETECT;
#ifdef NODE_RESTART_FULL
        own[0] = HALF
#else
        skip
#endif
    :: faults < FAULTS && rate == 2 -> faults++; rate = 0; bucket = min(bucket, OVERSHOOT)
    :: !up[0] || !up[1] -> n = 0;
        do
        :: n < 2 && !up[n] -> up[n] = true; limited[n] = false; sourceSilent[n] = 0;
#ifdef RESTART_FULL
            tokens[n] = QUOTA;
#else
            tokens[n] = 0;
#endif
            n++
        :: n < 2 && up[n] -> n++
        :: n == 2 -> break
        od
    fi
}

inline admit() {
    if
    :: d = 0
    :: d = DEMAND
    fi;
    d_step {
        if
        :: up[n] -> nodeSilent[n] = 0
        :: else -> nodeSilent[n] = min(nodeSilent[n] + 1, DETECT)
        fi;
        mustRepay[n] = own[n] < 0 && (mustRepay[n] || nodeSilent[n] == DETECT);
#ifdef SHARES_END_DEBT
        mustRepay[n] = false;
#endif
        if
#ifndef ALONE_UNLIMITED
        :: nodeSilent[n] == DETECT || mustRepay[n] -> used[n] = min(d, max(own[n], 0))
#endif
        :: nodeSilent[n] < DETECT && !mustRepay[n] && limited[n] -> used[n] = 0
        :: else -> used[n] = d
        fi;
        own[n] = own[n] - used[n];
#ifdef DEBT_DROPPED
        own[n] = max(own[n], 0);
#endif
        own[n] = min(max(own[n] + HALF, -MAXDEBT), HALF)
    }
}

inline count() {
    d_step {
        if
        :: !up[n] -> sourceSilent[n] = 0
        :: up[n] && !cut && up[1 - n] -> sourceSilent[n] = 0; tokens[n] = tokens[n] - told[1 - n]
        :: else -> sourceSilent[n] = min(sourceSilent[n] + 1, DETECT + 1);
            if
            /* The other node has probably admitted as much meanwhile. */
            :: sourceSilent[n] == DETECT -> tokens[n] = tokens[n] - DETECT * used[n]; tokens[n] = tokens[n] / 2
            :: else
            fi
        fi;
        if
        :: up[n] -> tokens[n] = tokens[n] - used[n];
#ifdef DEBT_DROPPED
            tokens[n] = max(tokens[n], 0);
#endif
            if
#ifndef SIDE_USES_WHOLE
            :: sourceSilent[n] >= DETECT -> tokens[n] = min(max(tokens[n] + QUOTA / 2, -MAXDEBT), QUOTA / 2)
#endif
            :: else -> tokens[n] = min(max(tokens[n] + QUOTA, -MAXDEBT), QUOTA)
            fi;
            limited[n] = tokens[n] <= 0
        :: else
        fi
    }
}

active proctype mesh() {
    do
    :: fault();
        n = 0; admit();
        n = 1; admit();
        d_step {
            bucket = bucket - used[0] - used[1];
            assert(bucket >= 0);
            bucket = min(bucket + rate, rate + OVERSHOOT)
        };
        n = 0; count();
        n = 1; count();
        d_step { told[0] = used[0]; told[1] = used[1]; used[0] = 0; used[1] = 0; d = 0; n = 0 }
    od
}
