/* Model of control's replicated log: terms, votes, disks, incarnations.
 *
 * A message exchange is a single step that may be skipped, so any message may
 * be lost. An acknowledgement remains valid when the receiver is lost
 * afterwards. Logs are replicated one entry at a time.
 * A crash discards the state in memory. The disk state is modelled separately
 * only in mutants, because otherwise every reply follows a sync.
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_ENTRIES
#define MAX_ENTRIES 3
#endif
#ifndef MAX_LOSSES
#define MAX_LOSSES 1
#endif
/* Three initial voters, and one new incarnation per lost disk. */
#define NODES (3 + MAX_LOSSES)
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define ABSENT 3

/* Values of log entries: release notes 1 and 2 (sent by two operators with the
 * same next number), and voter sets as 32 + bit mask. */
#define IS_VOTER_SET(v) ((v) >= 32)

byte role[NODES];
byte term[NODES];
byte voted_for[NODES];    /* candidate that got the vote in this term, plus 1 */
byte votes[NODES];        /* bit mask of votes for this candidate; in
                           * advance_commit(), of acknowledgements */
byte log_size[NODES];
byte entry_term[NODES * MAX_ENTRIES];
byte entry_value[NODES * MAX_ENTRIES];
/* By leader and receiver: number of acknowledged entries. */
byte match_index[NODES * NODES];
byte commit[NODES];       /* of a leader; 0 until it commits in its term */
byte losses;
byte replaces[NODES];     /* lost incarnation that this one replaces, plus 1 */
#if defined(VOTE_WITHOUT_SYNC)
byte disk_term[NODES];
byte disk_voted_for[NODES];
#endif
#if defined(APPEND_WITHOUT_SYNC)
byte disk_log_size[NODES];
#endif

/* State that the assertions compare with; not available to the nodes. */
byte leader_of[MAX_TERM + 1];
byte committed;            /* number of committed entries */
byte committed_term[MAX_ENTRIES];
byte committed_value[MAX_ENTRIES + 4]; /* padded for NUMBER_IS_FREE */
byte accepted_note;   /* note accepted under the next number; 0 for none */
byte committed_in[MAX_ENTRIES]; /* term of the leader that committed it */

#ifdef WITH_READS
byte reading_leader;  /* leader that handles the pending read, plus 1 */
byte read_floor;      /* entries committed when the read arrived */
byte read_acks;
#endif

/* Temporary variables, 0 between steps: loop index, length of a log prefix,
 * bit mask of voters, and an old commit index or incarnation. */
byte i;
byte prefix;
byte voters;
byte old;

#define SLOT(x, k) ((x) * MAX_ENTRIES + (k))
#define CONTAINS(mask, x) (((mask) >> (x)) & 1)
#define BIT_COUNT(m) (CONTAINS(m, 0) + CONTAINS(m, 1) + CONTAINS(m, 2) \
    + CONTAINS(m, 3) + CONTAINS(m, 4))
#define IS_MAJORITY(got, mask) (2 * BIT_COUNT((got) & (mask)) > BIT_COUNT(mask))
#define LAST_TERM(x) \
    (log_size[x] == 0 -> 0 : entry_term[SLOT(x, log_size[x] - 1)])
#define UP_TO_DATE(x, y) (LAST_TERM(x) > LAST_TERM(y) \
    || (LAST_TERM(x) == LAST_TERM(y) && log_size[x] >= log_size[y]))

/* Steps that differ in mutants. */
#ifdef WITH_READS
#define END_READ(x) \
    if \
    :: reading_leader == x + 1 -> \
        reading_leader = 0; read_floor = 0; read_acks = 0 \
    :: else \
    fi
#else
#define END_READ(x) skip
#endif

#ifdef VOTE_WITHOUT_SYNC
#define SYNC_VOTE(x) disk_term[x] = term[x]; disk_voted_for[x] = voted_for[x]
#else
#define SYNC_VOTE(x) skip
#endif

#ifdef APPEND_WITHOUT_SYNC
#define SYNC_LOG(x) disk_log_size[x] = log_size[x]
#else
#define SYNC_LOG(x) skip
#endif

#ifdef APPEND_WITHOUT_SYNC
/* Removes truncated entries from the disk as well. */
#define TRUNCATE_DISK(y) \
    disk_log_size[y] = (prefix > 0 && disk_log_size[y] >= prefix \
        -> prefix - 1 : disk_log_size[y]);
#else
#define TRUNCATE_DISK(y)
#endif

#ifdef OLD_TERM_COMMITS
#define OWN_TERM(x) true
#else
#define OWN_TERM(x) (entry_term[SLOT(x, prefix - 1)] == term[x])
#endif

#ifdef CHANGE_BEFORE_COMMIT
#define CHANGE_ALLOWED(x) true
#else
#define CHANGE_ALLOWED(x) (prefix <= commit[x] && commit[x] > 0)
#endif

/* Whether no other note has been accepted when entry k is applied. */
#define IS_NOTE(k) (committed_value[k] == 1 || committed_value[k] == 2)
#ifdef NUMBER_CHECKED_AT_PROPOSAL
#define NUMBER_IS_FREE(k) true
#else
#define IS_EARLIER_NOTE(k, j) (k > j && j < MAX_ENTRIES && IS_NOTE(j))
#define NUMBER_IS_FREE(k) (!(IS_EARLIER_NOTE(k, 0) || IS_EARLIER_NOTE(k, 1) \
    || IS_EARLIER_NOTE(k, 2) || IS_EARLIER_NOTE(k, 3)))
#endif

/* Sets `voters` to the last voter set in the log of x, committed or not. */
inline find_voters(x) {
    voters = 7;
    for (i : 0 .. MAX_ENTRIES - 1) {
        if
        :: i < log_size[x] && IS_VOTER_SET(entry_value[SLOT(x, i)]) ->
            voters = entry_value[SLOT(x, i)] - 32
        :: else
        fi
    }
    i = 0
}

inline step_down(x) {
    role[x] = FOLLOWER;
    votes[x] = 0;
    commit[x] = 0;
    for (i : 0 .. NODES - 1) {
        match_index[x * NODES + i] = 0
    }
    i = 0;
    END_READ(x)
}

inline update_term(x, t) {
    if
    :: t > term[x] ->
        term[x] = t;
        voted_for[x] = 0;
        step_down(x)
    :: else
    fi
}

inline start_election(x) {
    find_voters(x);
    if
    :: CONTAINS(voters, x) ->
        step_down(x);
        term[x]++;
        role[x] = CANDIDATE;
        voted_for[x] = x + 1;
        votes[x] = 1 << x;
        SYNC_VOTE(x)
    :: else
    fi;
    voters = 0
}

inline vote(x, y) {
    /* Candidate x requests the vote of y. */
    update_term(y, term[x]);
    if
    :: (term[y] == term[x] && (voted_for[y] == 0 || voted_for[y] == x + 1)
        && UP_TO_DATE(x, y)) ->
        voted_for[y] = x + 1;
        votes[x] = votes[x] | (1 << y);
        find_voters(x);
        if
        :: IS_MAJORITY(votes[x], voters) -> become_leader(x)
        :: else
        fi;
        voters = 0
    :: else
    fi
}

inline become_leader(x) {
    role[x] = LEADER;
    votes[x] = 0;
    /* There is one leader per term, and its log contains every entry that was
     * committed in lower terms. */
    assert(leader_of[term[x]] == 0 || leader_of[term[x]] == x + 1);
    leader_of[term[x]] = x + 1;
    for (i : 0 .. MAX_ENTRIES - 1) {
        if
        :: i < committed && committed_in[i] < term[x] ->
            assert(i < log_size[x]
                && entry_term[SLOT(x, i)] == committed_term[i]
                && entry_value[SLOT(x, i)] == committed_value[i])
        :: else
        fi
    }
    i = 0
}

inline append(x, v) {
    entry_term[SLOT(x, log_size[x])] = term[x];
    entry_value[SLOT(x, log_size[x])] = v;
    log_size[x]++;
    SYNC_LOG(x)
}

inline replicate(x, y) {
    /* Leader x sends y the first entry that differs from the log of y. */
    update_term(y, term[x]);
    if
    :: role[y] == CANDIDATE -> step_down(y)
    :: else
    fi;
    prefix = 0;
    do
    :: (prefix < log_size[x] && prefix < log_size[y]
        && entry_term[SLOT(x, prefix)] == entry_term[SLOT(y, prefix)]) ->
        prefix++
    :: else -> break
    od;
    if
    :: prefix < log_size[x] ->
        /* Truncates the conflicting entries of y. */
        i = prefix;
        do
        :: i < log_size[y] ->
            entry_term[SLOT(y, i)] = 0;
            entry_value[SLOT(y, i)] = 0;
            i++
        :: else -> break
        od;
        i = 0;
        entry_term[SLOT(y, prefix)] = entry_term[SLOT(x, prefix)];
        entry_value[SLOT(y, prefix)] = entry_value[SLOT(x, prefix)];
        prefix++;
        log_size[y] = prefix
    :: else
    fi;
    match_index[x * NODES + y] = prefix;
    TRUNCATE_DISK(y)
    prefix = 0
}

inline advance_commit(x) {
    /* Leader x commits the longest prefix that a majority acknowledged. */
    find_voters(x);
    prefix = log_size[x];
    old = commit[x];
    do
    :: prefix > old ->
        votes[x] = 1 << x;
        for (i : 0 .. NODES - 1) {
            if
            :: i != x && match_index[x * NODES + i] >= prefix ->
                votes[x] = votes[x] | (1 << i)
            :: else
            fi
        }
        i = 0;
#ifdef LEARNER_COUNTS
        if
        :: BIT_COUNT(votes[x]) * 2 > BIT_COUNT(voters) && OWN_TERM(x) -> break
        :: else -> prefix--
        fi
#else
        if
        :: IS_MAJORITY(votes[x], voters) && OWN_TERM(x) -> break
        :: else -> prefix--
        fi
#endif
    :: else -> break
    od;
    votes[x] = 0;
    if
    :: prefix > old -> commit[x] = prefix
    :: else
    fi;
    i = 0;
    do
    :: i < commit[x] ->
        if
        :: i < committed ->
            assert(committed_term[i] == entry_term[SLOT(x, i)]
                && committed_value[i] == entry_value[SLOT(x, i)])
        :: else ->
            committed_term[i] = entry_term[SLOT(x, i)];
            committed_value[i] = entry_value[SLOT(x, i)];
            committed_in[i] = term[x];
            committed = i + 1;
            if
            :: IS_VOTER_SET(committed_value[i]) || !(NUMBER_IS_FREE(i)) -> skip
            :: else ->
                /* Control replies to the operator that the note is accepted;
                 * no other note may be accepted under its number. */
                assert(accepted_note == 0
                    || accepted_note == committed_value[i]);
                accepted_note = committed_value[i]
            fi
        fi;
        i++
    :: else -> break
    od;
    i = 0;
    prefix = 0;
    old = 0;
    voters = 0
}

inline crash(x) {
    step_down(x);
#ifdef VOTE_WITHOUT_SYNC
    term[x] = disk_term[x];
    voted_for[x] = disk_voted_for[x];
#endif
#ifdef APPEND_WITHOUT_SYNC
    i = disk_log_size[x];
    do
    :: i < log_size[x] ->
        entry_term[SLOT(x, i)] = 0;
        entry_value[SLOT(x, i)] = 0;
        i++
    :: else -> break
    od;
    i = 0;
    log_size[x] = disk_log_size[x]
#endif
}

inline erase_disk(x) {
    step_down(x);
    term[x] = 0;
    voted_for[x] = 0;
    for (i : 0 .. MAX_ENTRIES - 1) {
        entry_term[SLOT(x, i)] = 0;
        entry_value[SLOT(x, i)] = 0
    }
    i = 0;
    log_size[x] = 0
}

inline lose_disk(x) {
    erase_disk(x);
#ifndef OLD_IDENTITY
    /* The old incarnation stops for good; the new one starts as a learner. */
    role[x] = ABSENT;
    role[3 + losses] = FOLLOWER;
    replaces[3 + losses] = x + 1;
#endif
    losses++
}

/* Leader x replaces the old incarnation by the new incarnation y. */
inline replace(x, y) {
    find_voters(x);
    /* One change at a time: the last voter set must be committed. */
    prefix = 0;
    for (i : 0 .. MAX_ENTRIES - 1) {
        if
        :: i < log_size[x] && IS_VOTER_SET(entry_value[SLOT(x, i)]) ->
            prefix = i + 1
        :: else
        fi
    }
    i = 0;
    old = replaces[y] - 1;
    if
    :: CHANGE_ALLOWED(x) && match_index[x * NODES + y] >= commit[x] ->
#ifdef REPLACE_IN_ONE_STEP
        if
        :: CONTAINS(voters, old) ->
            append(x, 32 + ((voters & ~(1 << old)) | (1 << y)))
        :: else
        fi
#else
        if
        :: CONTAINS(voters, old) -> append(x, 32 + (voters & ~(1 << old)))
        :: !CONTAINS(voters, old) && !CONTAINS(voters, y) ->
            append(x, 32 + (voters | (1 << y)))
        :: else
        fi
#endif
    :: else
    fi;
    prefix = 0;
    old = 0;
    voters = 0
}

#ifdef WITH_READS
#define READ_STEPS(x) \
    :: d_step { role[x] == LEADER && reading_leader == 0 && READ_READY(x) -> \
        reading_leader = x + 1; read_floor = committed; read_acks = 1 << x } \
    :: d_step { reading_leader == x + 1 && READ_QUORUM -> \
        assert(commit[x] >= read_floor); \
        reading_leader = 0; read_floor = 0; read_acks = 0; voters = 0 }
#ifdef READ_WITHOUT_QUORUM
#define READ_QUORUM true
#else
#define READ_QUORUM IS_MAJORITY(read_acks, 7)
#endif
#ifdef READ_BEFORE_OWN_COMMIT
#define READ_READY(x) true
#else
#define READ_READY(x) (commit[x] > 0)
#endif
#define READ_ACK(x, y) \
    if \
    :: reading_leader == x + 1 -> read_acks = read_acks | (1 << y) \
    :: else \
    fi
#else
#define READ_STEPS(x)
#define READ_ACK(x, y) skip
#endif

#define EXCHANGE(x, y) \
    /* A candidate requests a vote; a leader replicates an entry. */ \
    :: d_step { role[x] == CANDIDATE && role[y] != ABSENT \
        && term[y] <= term[x] && !CONTAINS(votes[x], y) -> vote(x, y) } \
    :: d_step { role[x] == LEADER && role[y] != ABSENT \
        && term[y] <= term[x] -> \
        replicate(x, y); READ_ACK(x, y); advance_commit(x) }

#define LOCAL_STEPS(x) \
    :: d_step { role[x] != ABSENT && role[x] != LEADER && term[x] < MAX_TERM \
        -> start_election(x) } \
    :: d_step { role[x] == LEADER && log_size[x] < MAX_ENTRIES \
        && MAY_PROPOSE(x) -> append(x, 1); advance_commit(x) } \
    :: d_step { role[x] == LEADER && log_size[x] < MAX_ENTRIES \
        && MAY_PROPOSE(x) -> append(x, 2); advance_commit(x) } \
    CRASH(x) \
    READ_STEPS(x)
#ifdef NUMBER_CHECKED_AT_PROPOSAL
#define MAY_PROPOSE(x) (commit[x] == 0 || accepted_note == 0)
#else
#define MAY_PROPOSE(x) true
#endif
#define CRASH(x) \
    :: d_step { role[x] == CANDIDATE || role[x] == LEADER || UNSYNCED(x) -> \
        crash(x) }
#if defined(VOTE_WITHOUT_SYNC)
#define UNSYNCED(x) \
    (disk_term[x] != term[x] || disk_voted_for[x] != voted_for[x])
#elif defined(APPEND_WITHOUT_SYNC)
#define UNSYNCED(x) (disk_log_size[x] != log_size[x])
#else
#define UNSYNCED(x) false
#endif
#define LOSE_DISK(x) \
    :: d_step { role[x] != ABSENT && losses < MAX_LOSSES -> lose_disk(x) }
#define REPLACE(x, y) \
    :: d_step { role[x] == LEADER && role[y] != ABSENT && replaces[y] != 0 \
        && log_size[x] < MAX_ENTRIES -> replace(x, y); advance_commit(x) }

active proctype control_nodes() {
    d_step {
        for (i : 3 .. NODES - 1) {
            role[i] = ABSENT
        }
        i = 0;
        /* First election: without loss of generality, node 0 wins with the
         * vote of node 1. */
        start_election(0);
        update_term(1, 1);
        voted_for[1] = 1;
        SYNC_VOTE(1);
        votes[0] = 0;
        role[0] = LEADER;
        leader_of[1] = 1
    }
    do
    LOCAL_STEPS(0)
    LOCAL_STEPS(1)
    LOCAL_STEPS(2)
    EXCHANGE(0, 1)
    EXCHANGE(0, 2)
    EXCHANGE(1, 0)
    EXCHANGE(1, 2)
    EXCHANGE(2, 0)
    EXCHANGE(2, 1)
#if MAX_LOSSES > 0
    LOCAL_STEPS(3)
    EXCHANGE(0, 3)
    EXCHANGE(1, 3)
    EXCHANGE(2, 3)
    EXCHANGE(3, 0)
    EXCHANGE(3, 1)
    EXCHANGE(3, 2)
    LOSE_DISK(0)
    LOSE_DISK(1)
    LOSE_DISK(2)
    REPLACE(0, 3)
    REPLACE(1, 3)
    REPLACE(2, 3)
#endif
#if MAX_LOSSES > 1
    LOSE_DISK(3)
    LOCAL_STEPS(4)
    EXCHANGE(0, 4)
    EXCHANGE(1, 4)
    EXCHANGE(2, 4)
    EXCHANGE(3, 4)
    EXCHANGE(4, 0)
    EXCHANGE(4, 1)
    EXCHANGE(4, 2)
    EXCHANGE(4, 3)
    REPLACE(0, 4)
    REPLACE(1, 4)
    REPLACE(2, 4)
    REPLACE(3, 4)
    REPLACE(4, 3)
#endif
    od
}
