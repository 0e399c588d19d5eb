/*
 * Version floors. Nodes and witnesses have no disk: a restart forgets everything. A node activates a
 * version only while a majority of the three witnesses is known to hold it or a newer one, and after a
 * restart learns its floor from a majority of witnesses with memory, or by a confirmed read of the source.
 * Replies may arrive late; a reply of an earlier incarnation of a witness is recognised by its
 * incarnation number.
 *
 * Property: a node never activates a version below one it has run.
 *
 * Variants: FLOOR_FORGOTTEN, NO_WITNESS_MAJORITY, AMNESIA_ANSWERS, OLD_INCARNATION_COUNTS,
 * RECOVERY_FROM_ONE.
 */

#define W 3
#define NEWEST 2
#define RESTARTS 2

byte committed;              /* the newest committed version of the source */
bool sourceReachable = true;

byte held[W];
bool memory[W];
byte incarnation[W];
/* The latest incarnation of each other witness whose recovery a witness has answered. */
byte seenIncarnation[W * W];
#define seen(x, y) seenIncarnation[(x) * W + (y)]

/* What the node knows of each witness: the version it reported and the incarnation that reported it. */
byte statedVersion[W];
byte statedIncarnation[W];
bool stated[W];
/* The latest incarnation of each witness that the node knows of. */
byte knownIncarnation[W];

byte nodeHeld;               /* the newest configuration that the node holds */
byte inForce;
bool serving;
byte floorKnown;             /* 1 once the floor is known */
byte floorVersion;
byte greatestRun;            /* the greatest version ever run, for the property */
byte restarts;
byte count, best, w;

#ifdef OLD_INCARNATION_COUNTS
#define is_valid(x) (stated[x])
#else
#define is_valid(x) (stated[x] && statedIncarnation[x] == knownIncarnation[x])
#endif

/* The source commits a version; faults of the source end with the last one. */
#define COMMIT :: d_step { committed < NEWEST; committed++ }

/* A witness takes a newer version from the source. */
#define TAKE(x) :: d_step { sourceReachable && memory[x] && held[x] < committed; held[x] = committed }

/* A witness restarts and loses its memory. */
#define FORGET(x) \
    :: d_step { restarts < RESTARTS; restarts++; held[x] = 0; memory[x] = false; incarnation[x]++; \
        seen(x, 0) = 0; seen(x, 1) = 0; seen(x, 2) = 0 }

/* A restarted witness recovers by a confirmed read, or from both other witnesses if they have memory
   (n - q + 1 = 2). */
#define RECOVER(x, y, z) \
    :: d_step { !memory[x] && sourceReachable; held[x] = committed; memory[x] = true } \
    :: d_step { !memory[x] && RECOVERY_OK(y, z); \
        REMEMBER(y, x) REMEMBER(z, x) \
        if :: memory[y] && held[y] > held[x] -> held[x] = held[y] :: else fi; \
        if :: memory[z] && held[z] > held[x] -> held[x] = held[z] :: else fi; \
        memory[x] = true } \
    RECOVER_FROM_ONE(x, y) RECOVER_FROM_ONE(x, z)
#ifdef OLD_INCARNATION_COUNTS
#define REMEMBER(y, x)
#else
#define REMEMBER(y, x) seen(y, x) = incarnation[x];
#endif
#define RECOVERY_OK(y, z) (memory[y] && memory[z])
#ifdef RECOVERY_FROM_ONE
#define RECOVER_FROM_ONE(x, y) \
    :: d_step { !memory[x] && memory[y]; REMEMBER(y, x) held[x] = held[y]; memory[x] = true }
#else
#define RECOVER_FROM_ONE(x, y)
#endif
#ifdef AMNESIA_ANSWERS
#define may_answer(x) true
#else
#define may_answer(x) memory[x]
#endif

#define LEARN_INCARNATION(x, y) \
    if :: seen(x, y) > knownIncarnation[y] -> knownIncarnation[y] = seen(x, y) :: else fi;

/* The node receives the state of a witness. */
#define HEAR(x) \
    :: d_step { may_answer(x) && !(stated[x] && statedVersion[x] == held[x] && statedIncarnation[x] == incarnation[x]); \
        stated[x] = true; statedVersion[x] = held[x]; statedIncarnation[x] = incarnation[x]; \
        knownIncarnation[x] = incarnation[x]; \
        LEARN_INCARNATION(x, 0) LEARN_INCARNATION(x, 1) LEARN_INCARNATION(x, 2) }

/* The node receives the configuration that a witness holds. */
#define GET(x) :: d_step { held[x] > nodeHeld; nodeHeld = held[x] }

/* The node restarts. */
#define RESTART_NODE \
    :: d_step { restarts < RESTARTS; restarts++; \
        nodeHeld = 0; inForce = 0; serving = false; floorKnown = 0; floorVersion = 0; \
        for (w : 0 .. W - 1) { \
            stated[w] = false; statedVersion[w] = 0; statedIncarnation[w] = 0; knownIncarnation[w] = 0 \
        } \
        w = 0 }

/* The floor from a majority of witnesses with memory. */
#define LEARN(x, y) \
    :: d_step { !floorKnown && is_valid(x) && is_valid(y); \
        floorKnown = 1; \
        floorVersion = statedVersion[x]; \
        if :: statedVersion[y] > floorVersion -> floorVersion = statedVersion[y] :: else fi }

/* The floor from a confirmed read. */
#define READ_FLOOR \
    :: d_step { !floorKnown && sourceReachable; floorKnown = 1; floorVersion = committed }

#ifdef FLOOR_FORGOTTEN
#define above_floor true
#else
#define above_floor (floorKnown && nodeHeld >= floorVersion)
#endif
#ifdef NO_WITNESS_MAJORITY
#define majority_holds(x, y) true
#else
#define majority_holds(x, y) \
    (is_valid(x) && is_valid(y) && statedVersion[x] >= nodeHeld && statedVersion[y] >= nodeHeld)
#endif

#define ACTIVATE(x, y) \
    :: d_step { nodeHeld > inForce && above_floor && majority_holds(x, y); \
        inForce = nodeHeld; serving = true; \
        assert(inForce >= greatestRun); \
        if :: inForce > greatestRun -> greatestRun = inForce :: else fi }

/* A delayed message delivers an old version to the node. */
#define LATE :: d_step { nodeHeld == 0; nodeHeld = 1 }

/* The node fetches the newest version from the source when no witness has it. */
#define FETCH :: d_step { sourceReachable && nodeHeld < committed; nodeHeld = committed }

#define CUT :: d_step { sourceReachable && restarts < RESTARTS; sourceReachable = false }
#define MEND :: d_step { !sourceReachable; sourceReachable = true }

init {
    d_step {
        committed = 1;
        memory[0] = true; memory[1] = true; memory[2] = true
    }
end:
    do
    COMMIT
    TAKE(0) TAKE(1) TAKE(2)
    FORGET(0) FORGET(1) FORGET(2)
    RECOVER(0, 1, 2) RECOVER(1, 0, 2) RECOVER(2, 0, 1)
    HEAR(0) HEAR(1) HEAR(2)
    GET(0) GET(1) GET(2)
    RESTART_NODE
    LEARN(0, 1) LEARN(0, 2) LEARN(1, 2)
    READ_FLOOR
    ACTIVATE(0, 1) ACTIVATE(0, 2) ACTIVATE(1, 2)
    FETCH
    LATE
    CUT
    MEND
    od
}
