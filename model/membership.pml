/*
 * Leases and incarnations of one backend server at one address. Each start has a greater incarnation. Its
 * announcements and withdrawals may arrive late, repeated or in another order, within the bounds.
 *
 * Safety: a start that withdrew never comes back, and a message of an older start neither removes nor
 * replaces a newer one. Liveness: once the server is permanently dead, it leaves the directory.
 *
 * Variants: INCARNATION_IGNORED, DEPARTURE_FORGOTTEN, LEASE_NEVER_ENDS.
 */

#define STARTS 3
#define LEASE 2

byte started = 1;            /* the newest incarnation */
bool alive = true;
bool announced[STARTS + 1];  /* announcements in flight, by incarnation */
bool withdrawn[STARTS + 1];  /* withdrawals in flight */
bool gone[STARTS + 1];       /* the directory has processed the withdrawal */

byte listed;                 /* the incarnation in the directory, 0 for none */
byte departed;               /* the newest incarnation known to have withdrawn */
byte lease;
bool isDeadForGood;

#ifdef INCARNATION_IGNORED
#define is_newer(i) true
#define covers(i) true
#else
#define is_newer(i) (i >= listed)
#define covers(i) (listed <= i)
#endif
#ifdef DEPARTURE_FORGOTTEN
#define has_departed(i) false
#else
#define has_departed(i) (i <= departed)
#endif

#define ANNOUNCE(i) \
    :: d_step { !isDeadForGood && announced[i] && is_newer(i) && !has_departed(i) && (listed != i || lease < LEASE); \
        assert(i >= listed && !gone[i]); \
        listed = i; lease = LEASE }

#define WITHDRAW(i) \
    :: d_step { withdrawn[i] && !gone[i]; \
        gone[i] = true; \
        if :: i > departed -> departed = i :: else fi; \
        if :: listed != 0 && covers(i) -> assert(listed <= i); listed = 0 :: else fi }

#ifdef LEASE_NEVER_ENDS
#define EXPIRE
#else
#define EXPIRE :: d_step { listed != 0; if :: lease > 0 -> lease-- :: else -> listed = 0 fi }
#endif

active [1] proctype directory() {
end:
    do
    ANNOUNCE(1) ANNOUNCE(2) ANNOUNCE(3)
    WITHDRAW(1) WITHDRAW(2) WITHDRAW(3)
    EXPIRE
    od
}

active [1] proctype server() {
    announced[1] = true;
    do
    :: atomic { alive; withdrawn[started] = true; alive = false }
    :: atomic { alive; alive = false }
    :: atomic { !alive && started < STARTS; started++; announced[started] = true; alive = true }
    :: atomic { !alive; isDeadForGood = true; break }
    od
}

/* Messages of a dead server are all delivered or lost before this holds. */
ltl leaves { [] (isDeadForGood -> <> (listed == 0)) }
