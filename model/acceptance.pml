/*
 * When a configuration comes into force. Three voting routers read one log; a
 * group of them is cut off from it for good at some moment, and those in the
 * group reach each other. (One that reads nothing for a while before that moment
 * is as good as cut off earlier.) Two of the three may be retired. With -DJOINS
 * there is one voter, which is cut off, and two routers that may join. The fold: a proposal comes into force, and
 * the set of voters changes, once more than half of the voters have written an
 * entry that shows that they had read the change, in log order.
 *
 * A group that is cut off goes on under the old version if it is more than half
 * of the voters it knows and none of it has read a proposal. Must hold: it never
 * does so once the proposal is in force.
 *
 * Entries may be appended long after they were written; then they show only what
 * had been read when they were written.
 */

#define ROUTERS 5      /* 3 and 4 may join */
#ifdef JOINS
#define MAX_LOG 5      /* entries, the bound of the search */
#define FIRST_VOTERS 1
#else
#define MAX_LOG 4
#define FIRST_VOTERS 7
#endif
#define NONE 255

#define PROPOSE 1
#define LEAVE 2
#define JOIN 3

byte end = 0;              /* length of the log */
byte read_to[ROUTERS];     /* entries that each router has read */
byte seen[ROUTERS];        /* as the fold knows it from its entries */
byte group = 0;            /* bit set of those that will be cut off */
bool cut_off = false;
bool retired[2];
byte joined = 3;           /* routers that have joined, from 0 up */

byte voters = FIRST_VOTERS;           /* bit set, of the fold at the end of the log */
byte voters_at[MAX_LOG + 1];
byte proposed_at = NONE;   /* offset of the proposal */
bool in_force = false;

/* Changes that wait, oldest first. */
byte waiting = 0;
byte change_at[3];
byte change_kind[3];
byte change_who[3];

#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) + (((set) >> 4) & 1))
#define SAW(r, at) (((voters >> (r)) & 1) && seen[r] > (at))
#define READERS(at) ((SAW(0, at) -> 1 : 0) + (SAW(1, at) -> 1 : 0) + (SAW(2, at) -> 1 : 0) + (SAW(3, at) -> 1 : 0) + (SAW(4, at) -> 1 : 0))

inline await(kind, who) {
  change_at[waiting] = end;
  change_kind[waiting] = kind;
  change_who[waiting] = who;
  waiting++;
}

inline drop_first() {
  change_at[0] = change_at[1]; change_kind[0] = change_kind[1]; change_who[0] = change_who[1];
  change_at[1] = change_at[2]; change_kind[1] = change_kind[2]; change_who[1] = change_who[2];
  change_at[2] = 0; change_kind[2] = 0; change_who[2] = 0;
  waiting--;
}

inline take_effect(kind, who) {
  if
  :: kind == PROPOSE -> in_force = true
  :: kind == LEAVE -> voters = voters & (31 - BIT(who))
  :: kind == JOIN -> voters = voters | BIT(who)
  fi
}

/* Ends every append: lets changes take effect, and remembers what a reader of
 * this prefix knows. */
inline finish_append() {
  do
  :: waiting > 0 && 2 * READERS(change_at[0]) > COUNT(voters) ->
     take_effect(change_kind[0], change_who[0]);
     drop_first()
  :: else -> break
  od;
  end++;
  voters_at[end] = voters
}

inline propose() {
  proposed_at = end;
#ifdef BROKEN_ACCEPT_AT_ONCE
  in_force = true;
#else
  await(PROPOSE, 0);
#endif
  finish_append()
}

inline retire(who) {
#ifdef BROKEN_RETIRED_LOSES_VOTE_AT_ONCE
  voters = voters & (31 - BIT(who));
#else
  await(LEAVE, who);
#endif
  finish_append()
}

inline join() {
  read_to[joined] = end;
#ifdef BROKEN_JOINED_VOTES_AT_ONCE
  voters = voters | BIT(joined);
#else
  await(JOIN, joined);
#endif
  joined++;
  finish_append()
}

active proctype operators() {
end_operators:
  do
  :: atomic { end < MAX_LOG && proposed_at == NONE && waiting < 3 -> propose() }
#ifdef JOINS
  :: atomic { end < MAX_LOG && waiting < 3 && joined < ROUTERS -> join() }
#else
  :: atomic { end < MAX_LOG && waiting < 3 && !retired[0] -> retired[0] = true; retire(0) }
  :: atomic { end < MAX_LOG && waiting < 3 && !retired[1] -> retired[1] = true; retire(1) }
#endif
  :: atomic { !cut_off -> cut_off = true }
  :: end >= MAX_LOG -> break
  od
}

proctype router(byte me) {
end_router:
  do
  /* The log grows by one entry at a time, so reading to its end at any moment
   * gives every prefix. */
  :: atomic { !(cut_off && (group & BIT(me))) && me < joined && read_to[me] < end -> read_to[me] = end }
  /* An entry shows at most what its writer had read; one that was written long
   * ago and lands now, maybe after the cut, shows less. */
  :: atomic { end < MAX_LOG && seen[me] < read_to[me] ->
#ifdef BROKEN_ENTRY_COUNTS_WHEN_APPENDED
       seen[me] = end;
#else
       seen[me] = read_to[me];
       if
       :: true
       :: seen[me] > 1 -> seen[me]--
       fi;
#endif
       finish_append() }
  :: end >= MAX_LOG -> break
  od
}

#define IN_GROUP(r) ((group >> (r)) & 1)
#ifdef BROKEN_KNOWLEDGE_IS_IGNORED
#define KNOWS(r) (false)
#else
#define KNOWS(r) (IN_GROUP(r) && proposed_at != NONE && read_to[r] > proposed_at)
#endif
#define NOBODY_KNOWS (!KNOWS(0) && !KNOWS(1) && !KNOWS(2))
#define KNOWN_VOTERS(r) voters_at[read_to[r]]
#define MAJORITY_FOR(r) (2 * COUNT(group & KNOWN_VOTERS(r)) > COUNT(KNOWN_VOTERS(r)))
#define GOES_ON(r) (cut_off && IN_GROUP(r) && NOBODY_KNOWS && MAJORITY_FOR(r))

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
    in_force && (GOES_ON(0) || GOES_ON(1) || GOES_ON(2)) -> assert(false)
  }
}
