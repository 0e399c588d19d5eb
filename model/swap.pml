/*
 * The swap of a configuration at a node. A configuration has two resources, a route and the service it
 * points at. Deltas name their base and the digest of the result; they may be damaged, late or repeated.
 *
 * Properties: requests are always routed by one complete published configuration, which never lacks the
 * service of its route; the version never decreases.
 *
 * Variants: APPLIED_BEFORE_DIGEST, BASE_IGNORED.
 */

#define VERSIONS 3

/* Version v has the route to service ROUTE(v), and that service exists in versions where it is named. */
#define ROUTE(v) (v)

byte version;
byte route, service;     /* the configuration in force */
byte nextRoute, nextService;
byte received;
bool damaged;

#define is_whole(r, s) (r == s)

/* The delta from version v - 1 to v arrives; a damaged delta leaves the service unchanged. */
#define ARRIVE(v) \
    :: d_step { received == 0; received = v; damaged = false } \
    :: d_step { received == 0; received = v; damaged = true }

#ifdef BASE_IGNORED
#define fits (received > version)
#else
#define fits (received == version + 1)
#endif

/* A delta from another base changes the route only, since the service it adds came with a version that
   the node lacks. */
#define APPLY \
    :: d_step { received != 0 && fits; \
        nextRoute = ROUTE(received); \
        nextService = service; \
        if :: !damaged && received == version + 1 -> nextService = ROUTE(received) :: else fi; \
        if \
        :: ACCEPTED -> route = nextRoute; service = nextService; \
            assert(received > version); \
            version = received; \
            assert(is_whole(route, service)) \
        :: else \
        fi; \
        received = 0; nextRoute = 0; nextService = 0; damaged = false } \
    :: d_step { received != 0 && !fits; received = 0; damaged = false }

/* The digest of the result is that of the published configuration. */
#ifdef APPLIED_BEFORE_DIGEST
#define ACCEPTED true
#else
#ifdef BASE_IGNORED
#define ACCEPTED (!damaged)
#else
#define ACCEPTED (nextRoute == ROUTE(received) && nextService == ROUTE(received))
#endif
#endif

init {
end:
    do
    ARRIVE(1) ARRIVE(2) ARRIVE(3)
    APPLY
    od
}
