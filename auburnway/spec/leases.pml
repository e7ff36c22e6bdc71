/* Configuration leases of entries and the rule of section 8.1.
 *
 * Control is one linearizable register here; control.pml shows that it is.
 * Time moves in ticks. A lease lasts LEASE ticks and a statement counts for
 * FRESH ticks. Every message may be lost or delayed. An entry may restart or
 * stand still at any time.
 */
#define N 3
#define MAJORITY 2
#define LEASE 2
#define FRESH 1
#define NONE 0
#ifndef LAST
#define LAST 2
#endif

/* Numbers: 0 is none, 1 is in force at the start, LAST is the greatest. */
byte committed = 1;
byte accepted = 1;
/* Ticks since the commit of the greatest number, and since its acceptance. */
byte commit_age = LEASE;
byte accept_age = FRESH;

byte num[N];
byte lease[N];        /* ticks left of the lease from control */
byte lent[N];         /* ticks left of a lease through a peer */
bool behind[N];       /* a peer stated a higher number */
byte acked[N];        /* number that control knows the entry to have */
#ifdef DELAYED_ANSWERS
byte answer[N];       /* number in an answer on its way; 0 is no answer */
#endif
#if defined(IN_FORCE_BY_OWN_LEASE) || defined(ACCEPT_BY_LEASES)
#define COUNTED
byte counted[N];      /* ticks left of the lease as control counts it */
#endif

/* Ticks for which the last statement without a lease counts that entry a
 * heard of entry b, at index a * N + b. */
byte said[9];
#ifdef STATEMENT_COUNTED_FROM_ARRIVAL
bool waits[9];        /* such a statement was made earlier */
#endif

#define OTHERS(a) ((said[a * N] > 0) + (said[a * N + 1] > 0) \
    + (said[a * N + 2] > 0))
#define LEASED(a) (lease[a] > 0 || lent[a] > 0)
#ifdef MINORITY_SERVES
#define NEEDED (MAJORITY - 1)
#else
#define NEEDED MAJORITY
#endif
#ifdef HIGHER_NUMBER_IGNORED
#define VETO(a) false
#else
#define VETO(a) behind[a]
#endif
#define BY_MAJORITY(a) (num[a] != NONE && !LEASED(a) && !VETO(a) \
    && OTHERS(a) + 1 >= NEEDED)
#define BY_LEASE(a) (num[a] != NONE && LEASED(a))

#define MANY(v, n) ((v[0] >= n) + (v[1] >= n) + (v[2] >= n) >= MAJORITY)

/* What control reports as in force everywhere. */
#ifdef IN_FORCE_BY_OWN_LEASE
#define DONE(e) (acked[e] >= committed || counted[e] == 0)
#define EVERYWHERE (DONE(0) && DONE(1) && DONE(2))
#else
#define EVERYWHERE (accepted == committed && accept_age >= FRESH \
    && (commit_age >= LEASE || (acked[0] >= committed \
    && acked[1] >= committed && acked[2] >= committed)))
#endif

#ifdef COUNTED
#define COUNT(e) counted[e] = LEASE
#define IS_COUNTED(e) (counted[e] < LEASE)
#else
#define COUNT(e) skip
#define IS_COUNTED(e) false
#endif

inline check(e) {
    /* A lower number is served by majority only for the stated time after
     * the acceptance, and by lease only while old leases last. */
    assert(!(BY_MAJORITY(e) && num[e] < accepted && accept_age >= FRESH));
    assert(!(BY_LEASE(e) && num[e] < committed && commit_age >= LEASE));
    assert(!(EVERYWHERE && (BY_MAJORITY(e) || BY_LEASE(e))
        && num[e] < committed));
}

inline set_num(e, n) {
    if
    :: n > num[e] -> num[e] = n; behind[e] = false
#ifdef OLDER_ANSWER_APPLIED
    :: n < num[e] && n != NONE -> assert(false); num[e] = n
#endif
    :: else
    fi
}

inline accept() {
#if defined(ACCEPT_AT_COMMIT) || defined(ACCEPT_BY_LEASES)
    if
    :: accepted < committed -> accepted = committed; accept_age = 0
    :: else
    fi
#else
    if
    :: accepted < committed && MANY(acked, committed) ->
        accepted = committed;
        accept_age = 0
    :: else
    fi
#endif
}

inline acknowledge(e) {
    if
    :: num[e] > acked[e] -> acked[e] = num[e]
    :: else
    fi;
    COUNT(e);
    accept()
}

inline down(x) {
    if
    :: x > 0 -> x--
    :: else
    fi
}

#define STEPS(e, x, y) \
    /* A renewal reaches control; its answer is lost, or arrives. */ \
    :: d_step { \
        num[e] != NONE && (acked[e] < num[e] || IS_COUNTED(e)) -> \
        acknowledge(e) \
    } \
    :: d_step { \
        num[e] != NONE && (lease[e] < LEASE || num[e] < committed) -> \
        acknowledge(e); \
        set_num(e, committed); \
        lease[e] = LEASE \
    } \
    DELAYED(e) \
    /* A linearizable read after a start. */ \
    :: d_step { num[e] == NONE -> num[e] = committed } \
    :: d_step { \
        num[e] != NONE -> \
        num[e] = NONE; \
        lease[e] = 0; \
        lent[e] = 0; \
        behind[e] = false; \
        FORGET_ANSWER(e); \
        said[e * N + x] = 0; \
        said[e * N + y] = 0; \
        FORGET_WAITING(e, x, y) \
    } \
    HEAR(e, x) \
    HEAR(e, y)

#ifdef DELAYED_ANSWERS
/* The number of an answer that arrives late; its lease is over. */
#define DELAYED(e) \
    :: d_step { num[e] != NONE && answer[e] == 0 -> answer[e] = committed } \
    :: d_step { \
        num[e] != NONE && answer[e] != 0 -> \
        set_num(e, answer[e]); \
        answer[e] = 0 \
    }
#define FORGET_ANSWER(e) answer[e] = 0
#else
#define DELAYED(e)
#define FORGET_ANSWER(e) skip
#endif

#ifdef STATEMENT_COUNTED_FROM_ARRIVAL
/* A frozen process reads an old statement from its socket. */
#define WAIT(a, b) waits[a * N + b] = true
#define LATE(a, b) \
    :: d_step { waits[a * N + b] -> said[a * N + b] = FRESH }
#define FORGET_WAITING(e, x, y) \
    waits[e * N + x] = false; waits[e * N + y] = false
#else
#define WAIT(a, b) skip
#define LATE(a, b)
#define FORGET_WAITING(e, x, y) skip
#endif

/* Entry a hears entry b, which states what holds now. */
#define HEAR(a, b) \
    :: d_step { \
        num[a] != NONE -> \
        if \
        :: num[b] > num[a] -> behind[a] = true \
        :: else \
        fi; \
        if \
        :: LEASED(b) || UNREAD(b) -> said[a * N + b] = 0 \
        :: else -> said[a * N + b] = FRESH; WAIT(a, b) \
        fi; \
        if \
        :: LENDS(a, b) && LENT_TICKS(b) > lent[a] -> lent[a] = LENT_TICKS(b) \
        :: else \
        fi \
    } \
    /* The configuration is relayed. */ \
    :: d_step { \
        num[a] != NONE && num[b] > num[a] -> set_num(a, num[b]) \
    } \
    LATE(a, b)

#ifdef UNREAD_ENTRY_COUNTS
#define UNREAD(b) false
#else
#define UNREAD(b) (num[b] == NONE)
#endif
#ifdef LEASE_LENT_ACROSS_NUMBERS
#define LENDS(a, b) (lease[b] > 0)
#else
#define LENDS(a, b) (lease[b] > 0 && num[a] == num[b])
#endif
#ifdef LENT_LEASE_STARTS_ANEW
#define LENT_TICKS(b) LEASE
#else
#define LENT_TICKS(b) lease[b]
#endif
#ifdef ACCEPT_BY_LEASES
#define MAY_COMMIT MANY(counted, 1)
#else
#define MAY_COMMIT true
#endif

active proctype fleet() {
    byte i;
    d_step {
        for (i : 0 .. 2) {
            num[i] = 1;
            acked[i] = 1;
            lease[i] = LEASE;
            COUNT(i)
        }
        i = 0
    }
    do
    STEPS(0, 1, 2)
    STEPS(1, 0, 2)
    STEPS(2, 0, 1)
    :: d_step {
        committed < LAST && accepted == committed && MAY_COMMIT ->
        committed++;
        commit_age = 0;
        accept()
    }
    /* One tick. A permission that is left before it, is checked. */
    :: d_step {
        check(0);
        check(1);
        check(2);
        for (i : 0 .. 2) {
            down(lease[i]);
            down(lent[i]);
#ifdef COUNTED
            down(counted[i]);
#endif
        }
        for (i : 0 .. 8) {
            down(said[i])
        }
        commit_age = (commit_age >= LEASE -> commit_age : commit_age + 1);
        accept_age = (accept_age >= FRESH -> accept_age : accept_age + 1);
        i = 0
    }
    od
}
