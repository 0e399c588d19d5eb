/*
 * The ledger of request keys: three replicas with journals, and two attempts of one request that reach
 * different nodes. Messages may be late, repeated or lost. A replica that loses its journal starts a new
 * generation, and copies the key from both others before it grants again.
 *
 * Properties: the request runs at most once; an attempt that answered "not run" never runs, and no other
 * attempt had run when it answered.
 *
 * Variants: GRANT_WITHOUT_MAJORITY, LOST_JOURNAL_GRANTS, GRANT_TWICE, REFUSE_WITHOUT_ASKING,
 * OLD_GENERATION_COUNTS, OLD_REFUSAL_COUNTS.
 */

#define R 3
#define A 2
#define FREE 0
#define LOSSES 1

/* The owner of the grant at each replica: 0 free, or attempt + 1. */
byte owner[R];
bool ready[R];
byte generation[R];
byte losses;

/* Grants that an attempt has received: the generation + 1 at which they were given, 0 for none. */
byte grant[A * R];
/* The newest generation of each replica that an attempt knows of from the others. */
byte known[A * R];
/* Acknowledged refusals of an attempt: the generation + 1 at which they were given, 0 for none. */
byte refusal[A * R];
bool ran[A];
bool answeredNotRun[A];
byte runs;
byte a, r;

#define G(a, r) grant[(a) * R + (r)]
#define K(a, r) known[(a) * R + (r)]
#define F(a, r) refusal[(a) * R + (r)]

#ifdef OLD_GENERATION_COUNTS
#define counts(a, r) (G(a, r) > 0)
#else
#define counts(a, r) (G(a, r) > 0 && G(a, r) - 1 == K(a, r))
#endif
#ifdef GRANT_WITHOUT_MAJORITY
#define has_majority(a) (counts(a, 0) + counts(a, 1) + counts(a, 2) >= 1)
#else
#define has_majority(a) (counts(a, 0) + counts(a, 1) + counts(a, 2) >= 2)
#endif
#ifdef GRANT_TWICE
#define is_free(r, a) true
#else
#define is_free(r, a) (owner[r] == FREE || owner[r] == (a) + 1)
#endif

/* A reply names the generation of the replica and those it has seen of the others. */
#define LEARN(a, r) \
    K(a, r) = generation[r]; \
    if :: K(a, 0) < seen(r, 0) -> K(a, 0) = seen(r, 0) :: else fi; \
    if :: K(a, 1) < seen(r, 1) -> K(a, 1) = seen(r, 1) :: else fi; \
    if :: K(a, 2) < seen(r, 2) -> K(a, 2) = seen(r, 2) :: else fi

/* A replica receives the claim of an attempt, grants it and names the generations it knows of. */
#define CLAIM(a, r) \
    :: d_step { ready[r] && !answeredNotRun[a] && is_free(r, a) && G(a, r) != generation[r] + 1; \
        owner[r] = (a) + 1; \
        G(a, r) = generation[r] + 1; \
        LEARN(a, r) }

/* A replica knows the generation of another after it has answered that one's recovery. */
byte seenGeneration[R * R];
#define seen(r, other) seenGeneration[(r) * R + (other)]

#define RUN(a) \
    :: d_step { !ran[a] && !answeredNotRun[a] && has_majority(a); \
        ran[a] = true; runs++; \
        assert(runs <= 1) }

/* An attempt asks to refuse the request: a replica that holds no grant of another records the refusal,
   which keeps the key from being granted to others. */
#define REFUSE(a, r) \
    :: d_step { ready[r] && !ran[a] && is_free(r, a) && F(a, r) != generation[r] + 1; \
        owner[r] = (a) + 1; \
        F(a, r) = generation[r] + 1; \
        LEARN(a, r) }

#ifdef OLD_REFUSAL_COUNTS
#define refused(a, r) (F(a, r) > 0)
#else
#define refused(a, r) (F(a, r) > 0 && F(a, r) - 1 == K(a, r))
#endif
#ifdef REFUSE_WITHOUT_ASKING
#define may_answer(a) true
#else
#define may_answer(a) (refused(a, 0) + refused(a, 1) + refused(a, 2) >= 2)
#endif
#define NOT_RUN(a) \
    :: d_step { !ran[a] && !answeredNotRun[a] && may_answer(a); \
        answeredNotRun[a] = true; \
        assert(runs == 0) }

/* A replica loses its journal. */
#define LOSE(r) \
    :: d_step { losses < LOSSES; losses++; \
        owner[r] = FREE; generation[r]++; \
        ready[r] = LOST_READY }
#ifdef LOST_JOURNAL_GRANTS
#define LOST_READY true
#else
#define LOST_READY false
#endif

/* A replica recovers from both others, which first record its new generation. Two different grants leave
   the key granted to neither attempt (owner 9). */
#define RECOVER(r, y, z) \
    :: d_step { !ready[r] && ready[y] && ready[z]; \
        seen(y, r) = generation[r]; seen(z, r) = generation[r]; \
        if :: owner[y] != FREE -> owner[r] = owner[y] :: else fi; \
        if :: owner[z] != FREE && owner[r] == FREE -> owner[r] = owner[z] :: else fi; \
        if :: owner[y] != FREE && owner[z] != FREE && owner[y] != owner[z] -> owner[r] = 9 :: else fi; \
        ready[r] = true }

#define OF(a) \
    CLAIM(a, 0) CLAIM(a, 1) CLAIM(a, 2) RUN(a) REFUSE(a, 0) REFUSE(a, 1) REFUSE(a, 2) NOT_RUN(a)

init {
    d_step { ready[0] = true; ready[1] = true; ready[2] = true }
end:
    do
    OF(0) OF(1)
    LOSE(0) LOSE(1) LOSE(2)
    RECOVER(0, 1, 2) RECOVER(1, 0, 2) RECOVER(2, 0, 1)
    od
}
