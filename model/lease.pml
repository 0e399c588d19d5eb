/*
 * The leader lease in discrete time. A leader renews its lease when a majority answers its heartbeat, from
 * the time it sent the heartbeat; a follower that answered grants no vote to another before the election
 * timeout. Messages may be lost, or arrive any number of ticks late within the horizon.
 *
 * Property: while one source holds a lease, no other source has become leader.
 *
 * Variants: LEASE_TOO_LONG, LEASE_FROM_REPLY.
 */

#define N 3
#define TIMEOUT 4
#ifdef LEASE_TOO_LONG
#define LEASE 6
#else
#define LEASE 3
#endif
#define HORIZON 14
#define NEVER 255

byte now;
bool leads[N];
byte term[N], newestTerm;
byte leaseEnd[N];
byte heardAt[N];        /* the time at which a follower last heard from a leader */
byte heartbeatSent[N];  /* the sending time of the last heartbeat of a leader */
bool answered[N * N];   /* answers to that heartbeat, by leader and follower */
byte votes[N];          /* votes in the running election of a candidate */
byte votedIn[N];        /* the last election in which a replica voted */
byte election;
byte r, f;

#define holds_lease(x) (leads[x] && now < leaseEnd[x])

inline check() {
    assert(!(holds_lease(0) && (leads[1] && now < leaseEnd[1])));
    assert(!(holds_lease(0) && (leads[2] && now < leaseEnd[2])));
    assert(!(holds_lease(1) && (leads[2] && now < leaseEnd[2])))
}

/* A leader sends a heartbeat; its own answer counts at once. */
#define SEND(l) \
    :: d_step { leads[l] && heartbeatSent[l] != now; \
        heartbeatSent[l] = now; \
        answered[(l) * N + 0] = (l == 0); answered[(l) * N + 1] = (l == 1); answered[(l) * N + 2] = (l == 2) }

/* A follower receives the heartbeat at any later time within the horizon; it ignores one of an older term. */
#define RECEIVE(l, x) \
    :: d_step { l != x && leads[l] && heartbeatSent[l] != NEVER && !answered[(l) * N + (x)] && term[x] <= term[l]; \
        term[x] = term[l]; leads[x] = false; \
        heardAt[x] = now; \
        answered[(l) * N + (x)] = true }

/* The leader counts the answers. */
#ifdef LEASE_FROM_REPLY
#define RENEWED_FROM(l) now
#else
#define RENEWED_FROM(l) heartbeatSent[l]
#endif
#define RENEW(l) \
    :: d_step { leads[l] && answered[(l) * N] + answered[(l) * N + 1] + answered[(l) * N + 2] >= 2 && \
            leaseEnd[l] < RENEWED_FROM(l) + LEASE; \
        leaseEnd[l] = RENEWED_FROM(l) + LEASE }

/* A replica that has heard from no leader for the election timeout is elected with the vote of one other
   replica for which the same holds. The election resets the election timeout of both. */
#define ELECT(c, v) \
    :: d_step { c != v && !leads[c] && now >= heardAt[c] + TIMEOUT && now >= heardAt[v] + TIMEOUT && \
            !(leads[v] && now < leaseEnd[v]); \
        newestTerm++; term[c] = newestTerm; term[v] = newestTerm; \
        leads[c] = true; leads[v] = false; \
        heardAt[v] = now; heardAt[c] = now; \
        heartbeatSent[c] = now; \
        answered[(c) * N + 0] = (c == 0 || v == 0); \
        answered[(c) * N + 1] = (c == 1 || v == 1); \
        answered[(c) * N + 2] = (c == 2 || v == 2); \
        leaseEnd[c] = now + LEASE; \
        check() }

#define OF(l) SEND(l) RECEIVE(l, 0) RECEIVE(l, 1) RECEIVE(l, 2) RENEW(l) ELECT(l, 0) ELECT(l, 1) ELECT(l, 2)

init {
    d_step {
        for (r : 0 .. N - 1) {
            heartbeatSent[r] = NEVER
        }
        now = TIMEOUT;
        r = 0
    }
end:
    do
    OF(0) OF(1) OF(2)
    :: d_step { now < HORIZON; now++; check() }
    od
}
