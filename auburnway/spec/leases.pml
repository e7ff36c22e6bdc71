/* Model of the configuration leases of entries and of the rule by which entries
 * serve without a lease (section 8.1 of docs/design.md).
 *
 * Control is modelled as one linearizable register; control.pml checks that it
 * is one. Time advances in ticks. A lease is valid for LEASE_TICKS. The
 * statement of an entry that it holds no lease is valid for STATEMENT_TICKS.
 * Any message may be lost or delayed. An entry may restart or freeze at any
 * time.
 */
#define ENTRIES 3
#define MAJORITY 2
#define LEASE_TICKS 2
#define STATEMENT_TICKS 1
#define NONE 0
#ifndef LAST_NUMBER
#define LAST_NUMBER 2
#endif

/* Configuration numbers: NONE (0), 1 in force at the start, up to LAST_NUMBER.
 * A number is committed in control's log first, and accepted later. */
byte committed = 1;
byte accepted = 1;
/* Ticks since the greatest number was committed, and since it was accepted;
 * both are capped. */
byte commit_age = LEASE_TICKS;
byte accept_age = STATEMENT_TICKS;

byte number[ENTRIES];
byte lease[ENTRIES];       /* remaining ticks of the lease from control */
byte peer_lease[ENTRIES];  /* remaining ticks of a peer lease */
bool saw_higher_number[ENTRIES]; /* a peer reported a higher number */
byte acked[ENTRIES];       /* greatest number acknowledged to control */
#ifdef DELAYED_ANSWERS
byte delayed_answer[ENTRIES]; /* number in an answer in transit, or NONE */
#endif
#if defined(IN_FORCE_BY_OWN_LEASE) || defined(ACCEPT_BY_LEASES)
#define CONTROL_TRACKS_LEASES
byte lease_at_control[ENTRIES]; /* remaining ticks according to control */
#endif

/* At index a * ENTRIES + b: remaining ticks of validity of the last statement
 * of entry b, received by entry a, that b holds no lease. */
byte statement_left[9];
#ifdef STATEMENT_COUNTED_FROM_ARRIVAL
bool statement_delayed[9]; /* an earlier statement may still arrive */
#endif

#define PEERS_WITHOUT_LEASE(a) ((statement_left[a * ENTRIES] > 0) \
    + (statement_left[a * ENTRIES + 1] > 0) \
    + (statement_left[a * ENTRIES + 2] > 0))
#define HOLDS_LEASE(a) (lease[a] > 0 || peer_lease[a] > 0)
#ifdef MINORITY_SERVES
#define NEEDED_ENTRIES (MAJORITY - 1)
#else
#define NEEDED_ENTRIES MAJORITY
#endif
#ifdef HIGHER_NUMBER_IGNORED
#define BLOCKED_BY_NUMBER(a) false
#else
#define BLOCKED_BY_NUMBER(a) saw_higher_number[a]
#endif
#define SERVES_BY_MAJORITY(a) (number[a] != NONE && !HOLDS_LEASE(a) \
    && !BLOCKED_BY_NUMBER(a) \
    && PEERS_WITHOUT_LEASE(a) + 1 >= NEEDED_ENTRIES)
#define SERVES_BY_LEASE(a) (number[a] != NONE && HOLDS_LEASE(a))

#define MAJORITY_REACHED(v, least) \
    ((v[0] >= least) + (v[1] >= least) + (v[2] >= least) >= MAJORITY)

/* Whether control reports the greatest number as in force everywhere. */
#ifdef IN_FORCE_BY_OWN_LEASE
#define CANNOT_SERVE_OLD(e) (acked[e] >= committed || lease_at_control[e] == 0)
#define IN_FORCE_EVERYWHERE \
    (CANNOT_SERVE_OLD(0) && CANNOT_SERVE_OLD(1) && CANNOT_SERVE_OLD(2))
#else
#define IN_FORCE_EVERYWHERE (accepted == committed \
    && accept_age >= STATEMENT_TICKS \
    && (commit_age >= LEASE_TICKS || (acked[0] >= committed \
    && acked[1] >= committed && acked[2] >= committed)))
#endif

#ifdef CONTROL_TRACKS_LEASES
#define RENEW_AT_CONTROL(e) lease_at_control[e] = LEASE_TICKS
#define NEEDS_RENEWAL_AT_CONTROL(e) (lease_at_control[e] < LEASE_TICKS)
#else
#define RENEW_AT_CONTROL(e) skip
#define NEEDS_RENEWAL_AT_CONTROL(e) false
#endif

inline check_serving(e) {
    /* An entry serves an older number by majority only for STATEMENT_TICKS
     * after the acceptance of a newer one, and by lease only for LEASE_TICKS
     * after the commit of a newer one. */
    assert(!(SERVES_BY_MAJORITY(e) && number[e] < accepted
        && accept_age >= STATEMENT_TICKS));
    assert(!(SERVES_BY_LEASE(e) && number[e] < committed
        && commit_age >= LEASE_TICKS));
    assert(!(IN_FORCE_EVERYWHERE
        && (SERVES_BY_MAJORITY(e) || SERVES_BY_LEASE(e))
        && number[e] < committed));
}

inline set_number(e, new_number) {
    if
    :: new_number > number[e] ->
        number[e] = new_number;
        saw_higher_number[e] = false
#ifdef OLDER_ANSWER_APPLIED
    :: new_number < number[e] && new_number != NONE ->
        assert(false);
        number[e] = new_number
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
    :: accepted < committed && MAJORITY_REACHED(acked, committed) ->
        accepted = committed;
        accept_age = 0
    :: else
    fi
#endif
}

inline acknowledge(e) {
    if
    :: number[e] > acked[e] -> acked[e] = number[e]
    :: else
    fi;
    RENEW_AT_CONTROL(e);
    accept()
}

inline decrement(x) {
    if
    :: x > 0 -> x--
    :: else
    fi
}

#define ENTRY_STEPS(e, x, y) \
    /* Control receives a lease renewal; its answer is lost, or arrives. */ \
    :: d_step { \
        number[e] != NONE \
        && (acked[e] < number[e] || NEEDS_RENEWAL_AT_CONTROL(e)) -> \
        acknowledge(e) \
    } \
    :: d_step { \
        number[e] != NONE \
        && (lease[e] < LEASE_TICKS || number[e] < committed) -> \
        acknowledge(e); \
        set_number(e, committed); \
        lease[e] = LEASE_TICKS \
    } \
    DELAYED_ANSWER(e) \
    /* The linearizable read after a start; then a restart. */ \
    :: d_step { number[e] == NONE -> number[e] = committed } \
    :: d_step { \
        number[e] != NONE -> \
        number[e] = NONE; \
        lease[e] = 0; \
        peer_lease[e] = 0; \
        saw_higher_number[e] = false; \
        FORGET_ANSWER(e); \
        statement_left[e * ENTRIES + x] = 0; \
        statement_left[e * ENTRIES + y] = 0; \
        FORGET_WAITING(e, x, y) \
    } \
    RECEIVE(e, x) \
    RECEIVE(e, y)

#ifdef DELAYED_ANSWERS
/* The answer to a renewal arrives after its lease has expired. */
#define DELAYED_ANSWER(e) \
    :: d_step { \
        number[e] != NONE && delayed_answer[e] == 0 -> \
        delayed_answer[e] = committed \
    } \
    :: d_step { \
        number[e] != NONE && delayed_answer[e] != 0 -> \
        set_number(e, delayed_answer[e]); \
        delayed_answer[e] = 0 \
    }
#define FORGET_ANSWER(e) delayed_answer[e] = 0
#else
#define DELAYED_ANSWER(e)
#define FORGET_ANSWER(e) skip
#endif

#ifdef STATEMENT_COUNTED_FROM_ARRIVAL
/* A resumed process reads an old statement from its socket buffer. */
#define MARK_DELAYED(a, b) statement_delayed[a * ENTRIES + b] = true
#define DELAYED_STATEMENT(a, b) \
    :: d_step { \
        statement_delayed[a * ENTRIES + b] -> \
        statement_left[a * ENTRIES + b] = STATEMENT_TICKS \
    }
#define FORGET_WAITING(e, x, y) \
    statement_delayed[e * ENTRIES + x] = false; \
    statement_delayed[e * ENTRIES + y] = false
#else
#define MARK_DELAYED(a, b) skip
#define DELAYED_STATEMENT(a, b)
#define FORGET_WAITING(e, x, y) skip
#endif

/* Entry a receives a heartbeat with the current state of entry b. */
#define RECEIVE(a, b) \
    :: d_step { \
        number[a] != NONE -> \
        if \
        :: number[b] > number[a] -> saw_higher_number[a] = true \
        :: else \
        fi; \
        if \
        :: HOLDS_LEASE(b) || HAS_NO_NUMBER(b) -> \
            statement_left[a * ENTRIES + b] = 0 \
        :: else -> \
            statement_left[a * ENTRIES + b] = STATEMENT_TICKS; \
            MARK_DELAYED(a, b) \
        fi; \
        if \
        :: SHARES_LEASE(a, b) && PEER_LEASE_TICKS(b) > peer_lease[a] -> \
            peer_lease[a] = PEER_LEASE_TICKS(b) \
        :: else \
        fi \
    } \
    /* Entry b relays its configuration to entry a. */ \
    :: d_step { \
        number[a] != NONE && number[b] > number[a] -> set_number(a, number[b]) \
    } \
    DELAYED_STATEMENT(a, b)

#ifdef UNREAD_ENTRY_COUNTS
#define HAS_NO_NUMBER(b) false
#else
#define HAS_NO_NUMBER(b) (number[b] == NONE)
#endif
#ifdef LEASE_LENT_ACROSS_NUMBERS
#define SHARES_LEASE(a, b) (lease[b] > 0)
#else
#define SHARES_LEASE(a, b) (lease[b] > 0 && number[a] == number[b])
#endif
#ifdef LENT_LEASE_STARTS_ANEW
#define PEER_LEASE_TICKS(b) LEASE_TICKS
#else
#define PEER_LEASE_TICKS(b) lease[b]
#endif
#ifdef ACCEPT_BY_LEASES
#define MAY_COMMIT MAJORITY_REACHED(lease_at_control, 1)
#else
#define MAY_COMMIT true
#endif

active proctype entries() {
    byte i;
    d_step {
        for (i : 0 .. 2) {
            number[i] = 1;
            acked[i] = 1;
            lease[i] = LEASE_TICKS;
            RENEW_AT_CONTROL(i)
        }
        i = 0
    }
    do
    ENTRY_STEPS(0, 1, 2)
    ENTRY_STEPS(1, 0, 2)
    ENTRY_STEPS(2, 0, 1)
    :: d_step {
        committed < LAST_NUMBER && accepted == committed && MAY_COMMIT ->
        committed++;
        commit_age = 0;
        accept()
    }
    /* One tick. The permissions to serve are checked before it. */
    :: d_step {
        check_serving(0);
        check_serving(1);
        check_serving(2);
        for (i : 0 .. 2) {
            decrement(lease[i]);
            decrement(peer_lease[i]);
#ifdef CONTROL_TRACKS_LEASES
            decrement(lease_at_control[i]);
#endif
        }
        for (i : 0 .. 8) {
            decrement(statement_left[i])
        }
        commit_age = (commit_age >= LEASE_TICKS -> commit_age : commit_age + 1);
        accept_age =
            (accept_age >= STATEMENT_TICKS -> accept_age : accept_age + 1);
        i = 0
    }
    od
}
