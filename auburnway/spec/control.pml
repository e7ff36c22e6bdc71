/* The replicated log of control: terms, votes, disks, incarnations.
 *
 * A message exchange is one step in which the receiver may take part or not,
 * so messages are lost at will. What was acknowledged stays acknowledged when
 * the receiver is lost afterwards. Logs are sent one entry at a time.
 * A crash drops what is in memory; disks differ from memory only in mutants,
 * as otherwise every answer follows a sync.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
/* Three first voters, and one new incarnation per lost disk. */
#define N (3 + LOSSES)
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define ABSENT 3

/* Values of entries: release notes 1 and 2 (two operators, both with the
 * next number), and voter sets as 32 + bit mask. */
#define IS_SET(v) ((v) >= 32)

byte role[N];
byte term[N];
byte voted[N];        /* index of the candidate plus 1 in this term */
byte votes[N];        /* bit mask of votes for this candidate */
byte size[N];
byte eterm[N * ENTRIES];
byte value[N * ENTRIES];
byte match[N * N];    /* leader, receiver: entries that are acknowledged */
byte commit[N];       /* of a leader; 0 until it commits in its own term */
byte losses;
byte replaces[N];     /* lost incarnation of a new one, plus 1 */
#if defined(VOTE_WITHOUT_SYNC)
byte disk_term[N];
byte disk_voted[N];
#endif
#if defined(APPEND_WITHOUT_SYNC)
byte disk_len[N];
#endif

/* What an outside observer knows. */
byte leader_of[TERMS + 1];
byte done;            /* committed entries */
byte done_term[ENTRIES];
byte done_value[ENTRIES + 4]; /* the rest is padding for FREE */
byte winner;          /* note that was accepted under the next number */
byte done_in[ENTRIES]; /* term of the leader that committed it */

#ifdef READS
byte reader;          /* leader of the read in progress, plus 1 */
byte read_from;       /* entries committed when the read arrived */
byte read_acks;
#endif

/* Temporary values, 0 between steps. */
byte i;
byte n;
byte set;
byte before;

#define AT(x, k) ((x) * ENTRIES + (k))
#define HAS(mask, x) (((mask) >> (x)) & 1)
#define BITS(m) (HAS(m, 0) + HAS(m, 1) + HAS(m, 2) + HAS(m, 3) + HAS(m, 4))
#define MOST(got, mask) (2 * BITS((got) & (mask)) > BITS(mask))
#define LAST_TERM(x) (size[x] == 0 -> 0 : eterm[AT(x, size[x] - 1)])
#define UP_TO_DATE(x, y) (LAST_TERM(x) > LAST_TERM(y) \
    || (LAST_TERM(x) == LAST_TERM(y) && size[x] >= size[y]))

/* Where mutants differ. */
#ifdef READS
#define END_READ(x) \
    if \
    :: reader == x + 1 -> reader = 0; read_from = 0; read_acks = 0 \
    :: else \
    fi
#else
#define END_READ(x) skip
#endif

#ifdef VOTE_WITHOUT_SYNC
#define SYNC_VOTE(x) disk_term[x] = term[x]; disk_voted[x] = voted[x]
#else
#define SYNC_VOTE(x) skip
#endif

#ifdef APPEND_WITHOUT_SYNC
#define SYNC_LOG(x) disk_len[x] = size[x]
#else
#define SYNC_LOG(x) skip
#endif

#ifdef APPEND_WITHOUT_SYNC
/* What was cut off is gone from the disk as well. */
#define CUT_DISK(y) \
    disk_len[y] = (n > 0 && disk_len[y] >= n -> n - 1 : disk_len[y]);
#else
#define CUT_DISK(y)
#endif

#ifdef OLD_TERM_COMMITS
#define OWN_TERM(x) true
#else
#define OWN_TERM(x) (eterm[AT(x, n - 1)] == term[x])
#endif

#ifdef CHANGE_BEFORE_COMMIT
#define CHANGE_ALLOWED(x) true
#else
#define CHANGE_ALLOWED(x) (n <= commit[x] && commit[x] > 0)
#endif

/* Whether the number is still free when entry k is applied. */
#define IS_NOTE(k) (done_value[k] == 1 || done_value[k] == 2)
#ifdef NUMBER_CHECKED_AT_PROPOSAL
#define FREE(k) true
#else
#define TAKEN(k, j) (k > j && j < ENTRIES && IS_NOTE(j))
#define FREE(k) (!(TAKEN(k, 0) || TAKEN(k, 1) || TAKEN(k, 2) \
    || TAKEN(k, 3)))
#endif

/* The voter set is the last one in the log, committed or not. */
inline find_set(x) {
    set = 7;
    for (i : 0 .. ENTRIES - 1) {
        if
        :: i < size[x] && IS_SET(value[AT(x, i)]) -> set = value[AT(x, i)] - 32
        :: else
        fi
    }
    i = 0
}

inline step_down(x) {
    role[x] = FOLLOWER;
    votes[x] = 0;
    commit[x] = 0;
    for (i : 0 .. N - 1) {
        match[x * N + i] = 0
    }
    i = 0;
    END_READ(x)
}

inline reach_term(x, t) {
    if
    :: t > term[x] ->
        term[x] = t;
        voted[x] = 0;
        step_down(x)
    :: else
    fi
}

inline stand(x) {
    find_set(x);
    if
    :: HAS(set, x) ->
        step_down(x);
        term[x]++;
        role[x] = CANDIDATE;
        voted[x] = x + 1;
        votes[x] = 1 << x;
        SYNC_VOTE(x)
    :: else
    fi;
    set = 0
}

inline vote(x, y) {
    /* Candidate x asks y. */
    reach_term(y, term[x]);
    if
    :: (term[y] == term[x] && (voted[y] == 0 || voted[y] == x + 1)
        && UP_TO_DATE(x, y)) ->
        voted[y] = x + 1;
        votes[x] = votes[x] | (1 << y);
        find_set(x);
        if
        :: MOST(votes[x], set) -> lead(x)
        :: else
        fi;
        set = 0
    :: else
    fi
}

inline lead(x) {
    role[x] = LEADER;
    votes[x] = 0;
    /* One leader per term, with every entry committed in lower terms. */
    assert(leader_of[term[x]] == 0 || leader_of[term[x]] == x + 1);
    leader_of[term[x]] = x + 1;
    for (i : 0 .. ENTRIES - 1) {
        if
        :: i < done && done_in[i] < term[x] ->
            assert(i < size[x] && eterm[AT(x, i)] == done_term[i]
                && value[AT(x, i)] == done_value[i])
        :: else
        fi
    }
    i = 0
}

inline append(x, v) {
    eterm[AT(x, size[x])] = term[x];
    value[AT(x, size[x])] = v;
    size[x]++;
    SYNC_LOG(x)
}

inline send(x, y) {
    /* Leader x sends to y the first entry that y does not share. */
    reach_term(y, term[x]);
    if
    :: role[y] == CANDIDATE -> step_down(y)
    :: else
    fi;
    n = 0;
    do
    :: n < size[x] && n < size[y] && eterm[AT(x, n)] == eterm[AT(y, n)] -> n++
    :: else -> break
    od;
    if
    :: n < size[x] ->
        /* A conflict cuts the log of y off. */
        i = n;
        do
        :: i < size[y] -> eterm[AT(y, i)] = 0; value[AT(y, i)] = 0; i++
        :: else -> break
        od;
        i = 0;
        eterm[AT(y, n)] = eterm[AT(x, n)];
        value[AT(y, n)] = value[AT(x, n)];
        n++;
        size[y] = n
    :: else
    fi;
    match[x * N + y] = n;
    CUT_DISK(y)
    n = 0
}

inline advance(x) {
    /* Leader x commits the longest part that a majority acknowledged. */
    find_set(x);
    n = size[x];
    before = commit[x];
    do
    :: n > before ->
        votes[x] = 1 << x;
        for (i : 0 .. N - 1) {
            if
            :: i != x && match[x * N + i] >= n ->
                votes[x] = votes[x] | (1 << i)
            :: else
            fi
        }
        i = 0;
#ifdef LEARNER_COUNTS
        if
        :: BITS(votes[x]) * 2 > BITS(set) && OWN_TERM(x) -> break
        :: else -> n--
        fi
#else
        if
        :: MOST(votes[x], set) && OWN_TERM(x) -> break
        :: else -> n--
        fi
#endif
    :: else -> break
    od;
    votes[x] = 0;
    if
    :: n > before -> commit[x] = n
    :: else
    fi;
    i = 0;
    do
    :: i < commit[x] ->
        if
        :: i < done ->
            assert(done_term[i] == eterm[AT(x, i)]
                && done_value[i] == value[AT(x, i)])
        :: else ->
            done_term[i] = eterm[AT(x, i)];
            done_value[i] = value[AT(x, i)];
            done_in[i] = term[x];
            done = i + 1;
            if
            :: IS_SET(done_value[i]) || !(FREE(i)) -> skip
            :: else ->
                /* The operator is told that the note is accepted. */
                assert(winner == 0 || winner == done_value[i]);
                winner = done_value[i]
            fi
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    n = 0;
    before = 0;
    set = 0
}

inline crash(x) {
    step_down(x);
#ifdef VOTE_WITHOUT_SYNC
    term[x] = disk_term[x];
    voted[x] = disk_voted[x];
#endif
#ifdef APPEND_WITHOUT_SYNC
    i = disk_len[x];
    do
    :: i < size[x] -> eterm[AT(x, i)] = 0; value[AT(x, i)] = 0; i++
    :: else -> break
    od;
    i = 0;
    size[x] = disk_len[x]
#endif
}

inline wipe(x) {
    step_down(x);
    term[x] = 0;
    voted[x] = 0;
    for (i : 0 .. ENTRIES - 1) {
        eterm[AT(x, i)] = 0;
        value[AT(x, i)] = 0
    }
    i = 0;
    size[x] = 0
}

inline lose_disk(x) {
    wipe(x);
#ifndef OLD_IDENTITY
    /* The old incarnation is never heard again; a new one is a learner. */
    role[x] = ABSENT;
    role[3 + losses] = FOLLOWER;
    replaces[3 + losses] = x + 1;
#endif
    losses++
}

/* Leader x puts the new incarnation y in the place of the old one. */
inline replace(x, y) {
    find_set(x);
    /* One change at a time: the last set must be committed. */
    n = 0;
    for (i : 0 .. ENTRIES - 1) {
        if
        :: i < size[x] && IS_SET(value[AT(x, i)]) -> n = i + 1
        :: else
        fi
    }
    i = 0;
    before = replaces[y] - 1;
    if
    :: CHANGE_ALLOWED(x) && match[x * N + y] >= commit[x] ->
#ifdef REPLACE_IN_ONE_STEP
        if
        :: HAS(set, before) ->
            append(x, 32 + ((set & ~(1 << before)) | (1 << y)))
        :: else
        fi
#else
        if
        :: HAS(set, before) -> append(x, 32 + (set & ~(1 << before)))
        :: !HAS(set, before) && !HAS(set, y) -> append(x, 32 + (set | (1 << y)))
        :: else
        fi
#endif
    :: else
    fi;
    n = 0;
    before = 0;
    set = 0
}

#ifdef READS
#define READ_STEPS(x) \
    :: d_step { role[x] == LEADER && reader == 0 && READ_READY(x) -> \
        reader = x + 1; read_from = done; read_acks = 1 << x } \
    :: d_step { reader == x + 1 && READ_QUORUM -> \
        assert(commit[x] >= read_from); \
        reader = 0; read_from = 0; read_acks = 0; set = 0 }
#ifdef READ_WITHOUT_QUORUM
#define READ_QUORUM true
#else
#define READ_QUORUM MOST(read_acks, 7)
#endif
#ifdef READ_BEFORE_OWN_COMMIT
#define READ_READY(x) true
#else
#define READ_READY(x) (commit[x] > 0)
#endif
#define READ_ACK(x, y) \
    if \
    :: reader == x + 1 -> read_acks = read_acks | (1 << y) \
    :: else \
    fi
#else
#define READ_STEPS(x)
#define READ_ACK(x, y) skip
#endif

#define LATER(x, y) \
    /* A candidate asks for a vote; a leader sends. */ \
    :: d_step { role[x] == CANDIDATE && role[y] != ABSENT \
        && term[y] <= term[x] && !HAS(votes[x], y) -> vote(x, y) } \
    :: d_step { role[x] == LEADER && role[y] != ABSENT \
        && term[y] <= term[x] -> send(x, y); READ_ACK(x, y); advance(x) }

#define ALONE(x) \
    :: d_step { role[x] != ABSENT && role[x] != LEADER && term[x] < TERMS \
        -> stand(x) } \
    :: d_step { role[x] == LEADER && size[x] < ENTRIES && PROPOSED(x) -> \
        append(x, 1); advance(x) } \
    :: d_step { role[x] == LEADER && size[x] < ENTRIES && PROPOSED(x) -> \
        append(x, 2); advance(x) } \
    CRASH(x) \
    READ_STEPS(x)
#ifdef NUMBER_CHECKED_AT_PROPOSAL
#define PROPOSED(x) (commit[x] == 0 || winner == 0)
#else
#define PROPOSED(x) true
#endif
#define CRASH(x) \
    :: d_step { role[x] == CANDIDATE || role[x] == LEADER || UNSYNCED(x) -> \
        crash(x) }
#if defined(VOTE_WITHOUT_SYNC)
#define UNSYNCED(x) (disk_term[x] != term[x] || disk_voted[x] != voted[x])
#elif defined(APPEND_WITHOUT_SYNC)
#define UNSYNCED(x) (disk_len[x] != size[x])
#else
#define UNSYNCED(x) false
#endif
#define LOSE(x) \
    :: d_step { role[x] != ABSENT && losses < LOSSES -> lose_disk(x) }
#define REPLACE(x, y) \
    :: d_step { role[x] == LEADER && role[y] != ABSENT && replaces[y] != 0 \
        && size[x] < ENTRIES -> replace(x, y); advance(x) }

active proctype servers() {
    d_step {
        for (i : 3 .. N - 1) {
            role[i] = ABSENT
        }
        i = 0;
        /* The first election, without loss of generality won by 0 with the
         * vote of 1. */
        stand(0);
        reach_term(1, 1);
        voted[1] = 1;
        SYNC_VOTE(1);
        votes[0] = 0;
        role[0] = LEADER;
        leader_of[1] = 1
    }
    do
    ALONE(0)
    ALONE(1)
    ALONE(2)
    LATER(0, 1)
    LATER(0, 2)
    LATER(1, 0)
    LATER(1, 2)
    LATER(2, 0)
    LATER(2, 1)
#if LOSSES > 0
    ALONE(3)
    LATER(0, 3)
    LATER(1, 3)
    LATER(2, 3)
    LATER(3, 0)
    LATER(3, 1)
    LATER(3, 2)
    LOSE(0)
    LOSE(1)
    LOSE(2)
    REPLACE(0, 3)
    REPLACE(1, 3)
    REPLACE(2, 3)
#endif
#if LOSSES > 1
    LOSE(3)
    ALONE(4)
    LATER(0, 4)
    LATER(1, 4)
    LATER(2, 4)
    LATER(3, 4)
    LATER(4, 0)
    LATER(4, 1)
    LATER(4, 2)
    LATER(4, 3)
    REPLACE(0, 4)
    REPLACE(1, 4)
    REPLACE(2, 4)
    REPLACE(3, 4)
    REPLACE(4, 3)
#endif
    od
}
