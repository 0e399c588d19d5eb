/*
 * The replicated log: elections, append, commit, restart from disk, and the replacement of a replica
 * whose disk was lost by a new identity.
 *
 * A single process executes one enabled step of any replica at a time. Messages are kept in arrays and
 * never removed, so each may be received late, more than once or never. Replica 3 is the new identity that
 * starts with an empty log after the disk of replica 2 is lost; membership goes {0,1,2} -> {0,1} ->
 * {0,1,3}, one change at a time, by entries of the log. A replica uses the newest membership in its log.
 *
 * Bounds: 4 identities, terms 1 to MAX_TERM (at most 4), logs of MAX_LOG entries (at most 3), CRASHES
 * restarts, and with REPLACEMENT one lost disk.
 *
 * A replica that restarts from a whole disk votes and acknowledges at once, without an answer of its peers.
 * An empty disk, or one on which a synced record is damaged, belongs to a new identity.
 *
 * Variants: VOTE_NOT_SYNCED, APPEND_NOT_SYNCED, COMMIT_OLD_TERM, LEARNER_VOTES, TWO_CHANGES,
 * WIPED_KEEPS_IDENTITY (an empty disk goes on under its old identity, and votes again in a term),
 * SUCCESSOR_TAKES_VOTE (the new identity counts as the voter whose disk was lost), DAMAGED_KEEPS_IDENTITY
 * (a replica goes on although its last synced record is damaged).
 */

#define N 4
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG
#define MAX_LOG 3
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

#ifndef REPLACEMENT
#define REPLACEMENT false
#endif

#define NONE 7
#define MEMBERS_ALL 7   /* {0,1,2} */
#define MEMBERS_TWO 3   /* {0,1} */
#define MEMBERS_NEW 11  /* {0,1,3} */

/* A change of membership needs the last one committed, and an entry of the leader's own term. */
#define all_committed(r) \
    (length[r] > 0 && leaderCommit[term[r]] == length[r] && entryTerm[AT(r, length[r] - 1)] == term[r])

#define AT(r, i) (r) * MAX_LOG + (i)
#define TV(t, r) (t) * N + (r)

/* Volatile and durable state of each replica. A log entry is its term and the membership in force
   from it on. */
byte term[N], vote[N], length[N];
byte entryTerm[N * MAX_LOG], entryMembers[N * MAX_LOG];
byte diskTerm[N], diskVote[N], diskLength[N];
bool leads[N], stands[N];
bool alive[N];
byte crashes;
bool diskLost;

/* Messages: a vote request of candidate r in term t with the end of its log, granted votes as a mask,
   and the highest index acknowledged to the leader of a term. */
bool asked[(MAX_TERM + 1) * N];
byte askedTerm[(MAX_TERM + 1) * N], askedLength[(MAX_TERM + 1) * N];
byte granted[(MAX_TERM + 1) * N];
byte acked[(MAX_TERM + 1) * N];

/* The log of the leader of each term, which only grows within the term; appends carry its entries. */
byte leaderOf[MAX_TERM + 1];
byte leaderLength[MAX_TERM + 1];
byte leaderTerm[(MAX_TERM + 1) * MAX_LOG], leaderMembers[(MAX_TERM + 1) * MAX_LOG];
byte leaderCommit[MAX_TERM + 1];

/* The entry that was committed first at each index. */
byte committed;
byte committedTerm[MAX_LOG], committedMembers[MAX_LOG];
/* The term of the leader that committed it first. */
byte committedBy[MAX_LOG];

byte r, c, i, t, count, size, mask, x;
bool allowed;

#ifdef SUCCESSOR_TAKES_VOTE
#define counts(votes, x) (((votes >> x) & 1) || (x == 2 && ((votes >> 3) & 1)))
#else
#define counts(votes, x) ((votes >> x) & 1)
#endif

inline members_of(replica, result) {
    result = MEMBERS_ALL;
    if
    :: length[replica] > 0 -> result = entryMembers[AT(replica, length[replica] - 1)]
    :: else
    fi
}

inline count_mask(votes, members) {
    count = 0; size = 0;
    for (x : 0 .. N - 1) {
        if
        :: (members >> x) & 1 ->
            size++;
            if :: counts(votes, x) -> count++ :: else fi
        :: else
        fi
    }
#ifdef LEARNER_VOTES
    count = 0;
    for (x : 0 .. N - 1) {
        if :: (votes >> x) & 1 -> count++ :: else fi
    }
#endif
}

inline persist_vote(replica) {
#ifdef VOTE_NOT_SYNCED
    skip
#else
    diskTerm[replica] = term[replica];
    diskVote[replica] = vote[replica]
#endif
}

inline step_down(replica, newTerm) {
    term[replica] = newTerm;
    vote[replica] = NONE;
    leads[replica] = false;
    stands[replica] = false;
    diskTerm[replica] = newTerm;
    diskVote[replica] = NONE
}

/* A replica that is a voter according to its own log stands for election. */
inline stand(replica) {
    alive[replica] && !leads[replica] && term[replica] < MAX_TERM;
    members_of(replica, mask);
    if
    :: (mask >> replica) & 1 ->
        term[replica]++;
        vote[replica] = replica;
        stands[replica] = true;
        diskTerm[replica] = term[replica];
        diskVote[replica] = replica;
        asked[TV(term[replica], replica)] = true;
        askedLength[TV(term[replica], replica)] = length[replica];
        askedTerm[TV(term[replica], replica)] = 0;
        if
        :: length[replica] > 0 ->
            askedTerm[TV(term[replica], replica)] = entryTerm[AT(replica, length[replica] - 1)]
        :: else
        fi;
        granted[TV(term[replica], replica)] = 1 << replica
    :: else
    fi
}

/* Replica r receives the vote request of candidate c in term t. */
inline grant(replica, candidate, asking) {
    asking <= MAX_TERM && alive[replica] && asked[TV(asking, candidate)] && asking >= term[replica] &&
        !((granted[TV(asking, candidate)] >> replica) & 1);
    if
    :: true ->
        if :: asking > term[replica] -> step_down(replica, asking) :: else fi;
        i = 0;
        if :: length[replica] > 0 -> i = entryTerm[AT(replica, length[replica] - 1)] :: else fi;
        allowed = (vote[replica] == NONE || vote[replica] == candidate) &&
            (askedTerm[TV(asking, candidate)] > i ||
                (askedTerm[TV(asking, candidate)] == i &&
                    askedLength[TV(asking, candidate)] >= length[replica]));
        if
        :: allowed ->
            vote[replica] = candidate;
            persist_vote(replica);
            granted[TV(asking, candidate)] = granted[TV(asking, candidate)] | (1 << replica)
        :: else
        fi
    :: else
    fi
}

inline become_leader(replica) {
    alive[replica] && stands[replica];
    members_of(replica, mask);
    if
    :: true ->
        count_mask(granted[TV(term[replica], replica)], mask);
        if
        :: count * 2 > size && leaderOf[term[replica]] == NONE ->
            leads[replica] = true;
            stands[replica] = false;
            leaderOf[term[replica]] = replica;
            leaderLength[term[replica]] = length[replica];
            for (i : 0 .. MAX_LOG - 1) {
                leaderTerm[AT(term[replica], i)] = entryTerm[AT(replica, i)];
                leaderMembers[AT(term[replica], i)] = entryMembers[AT(replica, i)]
            }
            acked[TV(term[replica], replica)] = length[replica];
            /* Leader completeness: nothing that a leader of an earlier term committed is missing. */
            for (i : 0 .. MAX_LOG - 1) {
                if
                :: i < committed && committedBy[i] < term[replica] ->
                    assert(length[replica] > i && entryTerm[AT(replica, i)] == committedTerm[i])
                :: else
                fi
            }
        :: count * 2 > size && leaderOf[term[replica]] != NONE ->
            /* Election safety: a second leader of one term. */
            assert(leaderOf[term[replica]] == replica)
        :: else
        fi
    :: else
    fi
}

/* The leader adds an entry: a command, or the next membership once the last one is committed. */
inline propose(replica) {
    alive[replica] && leads[replica] && length[replica] < MAX_LOG;
    if
    :: true ->
        members_of(replica, mask);
        if
        :: true -> skip
#ifdef TWO_CHANGES
        :: diskLost && mask == MEMBERS_ALL -> mask = MEMBERS_NEW
#else
        :: diskLost && mask == MEMBERS_ALL && all_committed(replica) -> mask = MEMBERS_TWO
        :: diskLost && mask == MEMBERS_TWO && all_committed(replica) &&
            acked[TV(term[replica], 3)] == length[replica] -> mask = MEMBERS_NEW
#endif
        fi;
        entryTerm[AT(replica, length[replica])] = term[replica];
        entryMembers[AT(replica, length[replica])] = mask;
        leaderTerm[AT(term[replica], length[replica])] = term[replica];
        leaderMembers[AT(term[replica], length[replica])] = mask;
        length[replica]++;
        diskLength[replica] = length[replica];
        leaderLength[term[replica]] = length[replica];
        acked[TV(term[replica], replica)] = length[replica]
    :: else
    fi
}

/* Replica r receives the entry at index i of the leader of term t. */
inline append(replica, sending, index) {
    sending <= MAX_TERM && index < MAX_LOG && alive[replica] && leaderOf[sending] != NONE && leaderOf[sending] != replica &&
        index < leaderLength[sending] && sending >= term[replica];
    if
    :: true ->
        if :: sending > term[replica] -> step_down(replica, sending) :: else fi;
        leads[replica] = false;
        stands[replica] = false;
        allowed = (index == 0);
        if
        :: index > 0 && length[replica] >= index ->
            allowed = (entryTerm[AT(replica, index - 1)] == leaderTerm[AT(sending, index - 1)])
        :: else
        fi;
        if
        :: allowed ->
            if
            :: length[replica] > index && entryTerm[AT(replica, index)] == leaderTerm[AT(sending, index)] -> skip
            :: else ->
                entryTerm[AT(replica, index)] = leaderTerm[AT(sending, index)];
                entryMembers[AT(replica, index)] = leaderMembers[AT(sending, index)];
                length[replica] = index + 1;
#ifdef APPEND_NOT_SYNCED
                if :: diskLength[replica] > index -> diskLength[replica] = index :: else fi
#else
                diskLength[replica] = length[replica]
#endif
            fi;
            if
            :: acked[TV(sending, replica)] < index + 1 -> acked[TV(sending, replica)] = index + 1
            :: else
            fi
        :: else
        fi
    :: else
    fi
}

/* The leader counts acknowledgements under the membership of its log. */
inline commit(replica) {
    alive[replica] && leads[replica] && leaderCommit[term[replica]] < length[replica];
    if
    :: true ->
        t = term[replica];
        i = leaderCommit[t];
        members_of(replica, mask);
#ifndef COMMIT_OLD_TERM
        /* An entry of an older term is committed only with a later one of the own term. */
        do
        :: i < length[replica] - 1 && entryTerm[AT(replica, i)] != t -> i++
        :: else -> break
        od;
#endif
        c = 0;
        for (x : 0 .. N - 1) {
            if :: acked[TV(t, x)] > i -> c = c | (1 << x) :: else fi
        }
        count_mask(c, mask);
        allowed = (count * 2 > size);
#ifndef COMMIT_OLD_TERM
        allowed = allowed && entryTerm[AT(replica, i)] == t;
#endif
        if
        :: allowed ->
            leaderCommit[t] = i + 1;
            for (x : 0 .. MAX_LOG - 1) {
                if
                :: x <= i && x < committed ->
                    /* State machine safety: an index is committed with one entry only. */
                    assert(entryTerm[AT(replica, x)] == committedTerm[x]);
                    assert(entryMembers[AT(replica, x)] == committedMembers[x])
                :: x <= i && x >= committed ->
                    committedBy[x] = t;
                    committedTerm[x] = entryTerm[AT(replica, x)];
                    committedMembers[x] = entryMembers[AT(replica, x)]
                :: else
                fi
            }
            if :: committed < i + 1 -> committed = i + 1 :: else fi
        :: else
        fi
    :: else
    fi
}

/* A crash loses what was not synced. */
inline crash(replica) {
    alive[replica] && crashes < CRASHES;
    if
    :: true ->
        crashes++;
        term[replica] = diskTerm[replica];
        vote[replica] = diskVote[replica];
#ifdef DAMAGED_KEEPS_IDENTITY
        if :: diskLength[replica] > 0 -> diskLength[replica]-- :: else fi;
#endif
        length[replica] = diskLength[replica];
        stands[replica] = false;
        leads[replica] = false
    :: else
    fi
}

/* Replica 2 loses its disk; identity 3 starts at the same address with an empty disk. */
inline lose_disk() {
    !diskLost && REPLACEMENT;
    if
    :: true ->
        diskLost = true;
        leads[2] = false;
#ifdef WIPED_KEEPS_IDENTITY
        stands[2] = false;
        step_down(2, 0);
        length[2] = 0;
        diskLength[2] = 0
#else
        alive[2] = false;
        alive[3] = true
#endif
    :: else
    fi
}

/* Resets the working variables, so that they do not distinguish states. */
inline forget() {
    r = 0; c = 0; i = 0; t = 0; x = 0; count = 0; size = 0; mask = 0; allowed = false
}

#define APPENDS(r, t) \
    :: d_step { append(r, t, 0); forget() } \
    :: d_step { append(r, t, 1); forget() } \
    :: d_step { append(r, t, 2); forget() }

#define GRANTS(r, t) \
    :: d_step { grant(r, 0, t); forget() } \
    :: d_step { grant(r, 1, t); forget() } \
    :: d_step { grant(r, 2, t); forget() } \
    :: d_step { grant(r, 3, t); forget() }

#define STEPS_OF(r) \
    :: d_step { stand(r); forget() } \
    :: d_step { become_leader(r); forget() } \
    :: atomic { propose(r); forget() } \
    :: d_step { commit(r); forget() } \
    :: d_step { crash(r); forget() } \
    GRANTS(r, 1) GRANTS(r, 2) GRANTS(r, 3) GRANTS(r, 4) \
    APPENDS(r, 1) APPENDS(r, 2) APPENDS(r, 3) APPENDS(r, 4)

init {
    d_step {
        for (r : 0 .. N - 1) {
            vote[r] = NONE;
            diskVote[r] = NONE;
            alive[r] = (r < 3)
        }
        for (t : 0 .. MAX_TERM) {
            leaderOf[t] = NONE
        }
        r = 0; t = 0; i = 0; x = 0; c = 0
    }
    /* Every run ends at the bounds. */
end:
    do
    STEPS_OF(0)
    STEPS_OF(1)
    STEPS_OF(2)
    STEPS_OF(3)
    :: d_step { lose_disk(); forget() }
    od
}
