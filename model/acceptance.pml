/*
 * When a configuration comes into force. Three voting routers read one log. At
 * some moment a group of them is permanently cut off from it, while the routers
 * in the group still reach each other. (A router that reads nothing for a while
 * before that moment behaves like one that was cut off earlier.) Two of the
 * three may be retired. With -DJOINS there is one voter, which is cut off, and
 * two routers that may join.
 *
 * The ledger: a proposal comes into force, and the set of voters changes, once
 * more than half of the voters have written an entry that shows that they had
 * read the change, in log order.
 *
 * A group that is cut off continues under the old version if it is more than
 * half of the voters, as far as it has read the log, and none of it has read a
 * proposal. Checked: it never does so once the proposal is in force.
 *
 * Entries may be appended long after they were written; they then show only
 * what had been read when they were written.
 */

#define ROUTERS 5 /* 3 and 4 may join */
#ifdef JOINS
#define MAX_LOG 5 /* entries; bounds the search */
#define FIRST_VOTERS 1
#else
#define MAX_LOG 4
#define FIRST_VOTERS 7
#endif
#define NONE 255

#define PROPOSE 1
#define LEAVE 2
#define JOIN 3

byte log_end = 0;         /* length of the log */
byte read_to[ROUTERS];    /* number of entries that each router has read */
byte shown_read[ROUTERS]; /* the same as shown by its entries in the log */
byte group = 0;           /* bit set of the routers that will be cut off */
bool partitioned = false;
bool retired[2];
byte joined = 3; /* routers that have joined, from 0 up */

byte voters = FIRST_VOTERS; /* bit set, by the whole log */
byte voters_at[MAX_LOG + 1];
byte proposed_at = NONE; /* offset of the proposal */
bool in_force = false;

/* Pending changes, oldest first. */
byte pending = 0;
byte change_at[3];
byte change_kind[3];
byte change_who[3];

#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) + (((set) >> 4) & 1))
#define HAS_SHOWN(r, at) (((voters >> (r)) & 1) && shown_read[r] > (at))
#define COUNT_SHOWN(at) ((HAS_SHOWN(0, at) -> 1 : 0) + (HAS_SHOWN(1, at) -> 1 : 0) + (HAS_SHOWN(2, at) -> 1 : 0) + (HAS_SHOWN(3, at) -> 1 : 0) + (HAS_SHOWN(4, at) -> 1 : 0))

inline add_change(kind, who) {
  change_at[pending] = log_end;
  change_kind[pending] = kind;
  change_who[pending] = who;
  pending++;
}

inline drop_first() {
  change_at[0] = change_at[1]; change_kind[0] = change_kind[1]; change_who[0] = change_who[1];
  change_at[1] = change_at[2]; change_kind[1] = change_kind[2]; change_who[1] = change_who[2];
  change_at[2] = 0; change_kind[2] = 0; change_who[2] = 0;
  pending--;
}

inline take_effect(kind, who) {
  if
  :: kind == PROPOSE -> in_force = true
  :: kind == LEAVE -> voters = voters & (31 - BIT(who))
  :: kind == JOIN -> voters = voters | BIT(who)
  fi
}

/* Ends every append: applies changes, and stores the voters for readers of this
 * prefix. */
inline finish_append() {
  do
  :: pending > 0 && 2 * COUNT_SHOWN(change_at[0]) > COUNT(voters) ->
     take_effect(change_kind[0], change_who[0]);
     drop_first()
  :: else -> break
  od;
  log_end++;
  voters_at[log_end] = voters
}

inline propose() {
  proposed_at = log_end;
#ifdef BROKEN_ACCEPT_AT_ONCE
  in_force = true;
#else
  add_change(PROPOSE, 0);
#endif
  finish_append()
}

inline retire(who) {
#ifdef BROKEN_RETIRED_LOSES_VOTE_AT_ONCE
  voters = voters & (31 - BIT(who));
#else
  add_change(LEAVE, who);
#endif
  finish_append()
}

inline join() {
  read_to[joined] = log_end;
#ifdef BROKEN_JOINED_VOTES_AT_ONCE
  voters = voters | BIT(joined);
#else
  add_change(JOIN, joined);
#endif
  joined++;
  finish_append()
}

active proctype operators() {
end_operators:
  do
  :: atomic { log_end < MAX_LOG && proposed_at == NONE && pending < 3 -> propose() }
#ifdef JOINS
  :: atomic { log_end < MAX_LOG && pending < 3 && joined < ROUTERS -> join() }
#else
  :: atomic { log_end < MAX_LOG && pending < 3 && !retired[0] -> retired[0] = true; retire(0) }
  :: atomic { log_end < MAX_LOG && pending < 3 && !retired[1] -> retired[1] = true; retire(1) }
#endif
  :: atomic { !partitioned -> partitioned = true }
  :: log_end >= MAX_LOG -> break
  od
}

proctype router(byte me) {
end_router:
  do
  /* The log grows by one entry at a time, so reading to its end at any moment
   * gives every prefix. */
  :: atomic { !(partitioned && (group & BIT(me))) && me < joined && read_to[me] < log_end -> read_to[me] = log_end }
  /* An entry shows at most what its writer had read. One that was written
   * earlier and is appended now, possibly after the cut, shows less. */
  :: atomic { log_end < MAX_LOG && shown_read[me] < read_to[me] ->
#ifdef BROKEN_ENTRY_COUNTS_WHEN_APPENDED
       shown_read[me] = log_end;
#else
       shown_read[me] = read_to[me];
       if
       :: true
       :: shown_read[me] > 1 -> shown_read[me]--
       fi;
#endif
       finish_append() }
  :: log_end >= MAX_LOG -> break
  od
}

#define IN_GROUP(r) ((group >> (r)) & 1)
#ifdef BROKEN_KNOWLEDGE_IS_IGNORED
#define HAS_READ_PROPOSAL(r) (false)
#else
#define HAS_READ_PROPOSAL(r) (IN_GROUP(r) && proposed_at != NONE && read_to[r] > proposed_at)
#endif
#define NONE_HAS_READ_PROPOSAL (!HAS_READ_PROPOSAL(0) && !HAS_READ_PROPOSAL(1) && !HAS_READ_PROPOSAL(2))
#define VOTERS_READ_BY(r) voters_at[read_to[r]]
#define MAJORITY_FOR(r) (2 * COUNT(group & VOTERS_READ_BY(r)) > COUNT(VOTERS_READ_BY(r)))
#define CONTINUES(r) (partitioned && IN_GROUP(r) && NONE_HAS_READ_PROPOSAL && MAJORITY_FOR(r))

init {
  atomic {
    voters_at[0] = voters;
#ifdef JOINS
    group = 1;
    run router(0); run router(3); run router(4)
#else
    if
    :: group = 3
    :: group = 6
    :: group = 7
    fi;
    run router(0); run router(1); run router(2)
#endif
  }
}

active proctype monitor() {
end_monitor:
  atomic {
    in_force && (CONTINUES(0) || CONTINUES(1) || CONTINUES(2)) -> assert(false)
  }
}
