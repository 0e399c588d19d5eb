/*
 * Submission ids. Two operators submit documents that expect the same version; each submission may be
 * resent, so the log may hold several entries for one id. The state machine is compacted into a snapshot
 * at any point, and a new leader may start from the snapshot. The submission table is part of it.
 *
 * Properties: one submission is accepted for an expected version; every entry of one id gets the result
 * of the first.
 *
 * Variants: TABLE_LOST_AT_COMPACTION, NO_TABLE, EXPECTED_IGNORED.
 */

#define IDS 2
#define MAX_ENTRIES 5
#define NONE 0
#define ACCEPTED 1
#define CONFLICT 2

byte entries;
byte version;                 /* number of accepted documents */
byte result[IDS];             /* the submission table */
byte first[IDS];              /* the first result given to the operator */
byte acceptedCount;
byte snapshotVersion;
byte snapshotResult[IDS];
byte outcome;

#ifdef NO_TABLE
#define known(i) false
#else
#define known(i) (result[i] != NONE)
#endif
#ifdef EXPECTED_IGNORED
#define fits true
#else
#define fits (version == 0)
#endif

/* An entry of submission i, which expects version 0, is committed and applied. */
#define APPLY(i) \
    :: d_step { entries < MAX_ENTRIES; \
        entries++; \
        if \
        :: known(i) -> outcome = result[i] \
        :: !known(i) && fits -> outcome = ACCEPTED; version++; acceptedCount++ \
        :: !known(i) && !(fits) -> outcome = CONFLICT \
        fi; \
        result[i] = outcome; \
        if :: first[i] == NONE -> first[i] = outcome :: else fi; \
        assert(outcome == first[i]); \
        assert(acceptedCount <= 1); \
        outcome = 0 }

#ifdef TABLE_LOST_AT_COMPACTION
#define KEPT(i) NONE
#else
#define KEPT(i) result[i]
#endif
#define COMPACT \
    :: d_step { snapshotVersion != version || snapshotResult[0] != KEPT(0) || snapshotResult[1] != KEPT(1); \
        snapshotVersion = version; snapshotResult[0] = KEPT(0); snapshotResult[1] = KEPT(1) }

/* The snapshot covers everything applied: the part of the table that it keeps is up to date. */
#define IS_COMPLETE (snapshotResult[0] == KEPT(0) && snapshotResult[1] == KEPT(1))

/* A replica whose whole log is compacted takes over with the state of the snapshot. */
#define TAKE_OVER \
    :: d_step { snapshotVersion == version && IS_COMPLETE; result[0] = snapshotResult[0]; result[1] = snapshotResult[1] }

init {
end:
    do
    APPLY(0) APPLY(1) COMPACT TAKE_OVER
    od
}
