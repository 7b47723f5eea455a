/*
 * Ceilings of one budget in a durable log. Routers append their claims, read
 * the log and spend below what they were granted. A router may die and start
 * again at any moment; a write may be done late.
 *
 * Checked: the tokens spent never exceed the total.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_GRANT_EARLY   spend as soon as the claim is written, not when it is read
 *   BROKEN_GRANT_FULL    take the whole claim, whatever records before it left
 *   BROKEN_FORGET        an earlier start's ceiling is not counted as used
 *   BROKEN_LOWER_LATE    a lowered ceiling holds when it is read, not when written
 *   BROKEN_NO_FENCE      writes of an earlier start may still be done
 *   BROKEN_UNREAD_GRANT_OLD  only the newest claim binds a grant (with UNREAD)
 *
 * UNREAD: a router writes the next claim before it has read the last one. The
 * total is one token then, so that the search stays small.
 */
#define ROUTERS 2
#ifdef UNREAD
#define TOTAL 1
#define MAY_WRITE true
#else
#define TOTAL 2
#define MAY_WRITE (asked == ceiling)
#endif
#define RECORDS 4

/* The log: who, which start, cumulative claim of that start and before. */
byte log_who[RECORDS];
byte log_epoch[RECORDS];
byte log_claim[RECORDS];
byte log_retired[RECORDS];
byte log_end = 0;
byte fence[ROUTERS];
byte spent_by_all = 0;

#ifdef BROKEN_NO_FENCE
#define ADMITTED(who, epoch) true
#else
#define ADMITTED(who, epoch) (epoch >= fence[who])
#endif

inline append(who, epoch, claim, retired) {
  d_step {
    if
    :: log_end < RECORDS && ADMITTED(who, epoch) ->
       log_who[log_end] = who;
       log_epoch[log_end] = epoch;
       log_claim[log_end] = claim;
       log_retired[log_end] = retired;
       log_end++
    :: else -> skip
    fi
  }
}

/* Claims of the other router in the first `upto` records: the newest counts. */
inline others_before(who, upto, result) {
  d_step {
    result = 0;
    i = 0;
    do
    :: i < upto ->
       if
       :: log_who[i] != who -> result = log_claim[i] + log_retired[i]
       :: else -> skip
       fi;
       i++
    :: else -> break
    od;
    i = 0
  }
}

/* No more than any claim written after the one that is being read. */
inline least_later(result) {
#ifdef BROKEN_UNREAD_GRANT_OLD
  result = (asked < result -> asked : result);
#else
  j = seen + 1;
  do
  :: j < log_end ->
     if
     :: log_who[j] == me && log_epoch[j] == epoch && log_claim[j] < result ->
        result = log_claim[j]
     :: else -> skip
     fi;
     j++
  :: else -> break
  od;
  j = 0;
  if
  :: late && late_epoch == epoch && late_claim < result -> result = late_claim
  :: else -> skip
  fi
#endif
}

proctype Router(byte me) {
  byte epoch = 1;
  byte ceiling = 0;   /* may be spent up to here */
  byte asked = 0;     /* stated in the newest record */
  byte spent = 0;
  byte retired = 0;   /* of earlier starts */
  byte seen = 0;      /* records read */
  byte others = 0;
  byte late_claim = 0;
  byte late_epoch = 0;
  byte late_retired = 0;
  bool late = false;  /* a write without an answer, maybe done later */
  byte i = 0;
  byte j = 0;
  byte starts = 1;

  /* All may rest at any time: only what is spent is checked. */
end_rest:
  do
  /* Claim one more. */
  :: !(late && late_epoch == epoch) && MAY_WRITE && ceiling + retired < TOTAL && log_end < RECORDS ->
     asked = ceiling + 1;
     if
     :: append(me, epoch, asked, retired)
     :: late = true;
        late_claim = asked;
        late_epoch = epoch;
        late_retired = retired
     fi;
#ifdef BROKEN_GRANT_EARLY
     ceiling = asked
#endif
  /* The write without an answer is done after all, or was not done. */
  :: late ->
     append(me, late_epoch, late_claim, late_retired);
     d_step { late = false; late_claim = 0; late_epoch = 0; late_retired = 0 }
  :: late && late_epoch != epoch ->
     d_step { late = false; late_claim = 0; late_epoch = 0; late_retired = 0 }
  /* Lower to what is spent. */
  :: !(late && late_epoch == epoch) && MAY_WRITE && asked > spent && log_end < RECORDS ->
     asked = spent;
#ifndef BROKEN_LOWER_LATE
     ceiling = spent;
#endif
     append(me, epoch, asked, retired)
  /* Read the next record. */
  :: seen < log_end ->
     if
     :: log_who[seen] == me && log_epoch[seen] == epoch ->
        others_before(me, seen, others);
        d_step {
#ifdef BROKEN_GRANT_FULL
          ceiling = (log_claim[seen] < asked -> log_claim[seen] : asked);
#else
          i = (others + retired > TOTAL -> 0 : TOTAL - others - retired);
          i = (log_claim[seen] < i -> log_claim[seen] : i);
#ifdef UNREAD
          least_later(i);
          ceiling = (i > ceiling -> i : ceiling);
#else
          i = (asked < i -> asked : i);
          ceiling = (i > spent -> i : spent);
#endif
          i = 0;
          others = 0;
#endif
#ifndef UNREAD
          if
          :: seen + 1 == log_end -> asked = ceiling
          :: else -> skip
          fi
#endif
        }
     :: else -> skip
     fi;
     seen++
  /* Spend one. */
  :: spent < ceiling ->
     atomic {
       spent++;
       spent_by_all++;
       assert(spent_by_all <= TOTAL)
     }
  /* Die and start again: nothing is remembered but the log. */
  :: starts < 2 ->
     starts++;
     atomic {
       epoch++;
       fence[me] = epoch
     };
     d_step {
       retired = 0;
       i = 0;
       do
       :: i < log_end ->
          if
#ifndef BROKEN_FORGET
          :: log_who[i] == me -> retired = log_claim[i] + log_retired[i]
#else
          :: false -> skip
#endif
          :: else -> skip
          fi;
          i++
       :: else -> break
       od;
       seen = log_end;
       i = 0;
       ceiling = 0;
       asked = 0;
       spent = 0
     }
  :: log_end == RECORDS && seen == log_end && spent >= ceiling && !late -> break
  od
}

init {
  atomic {
    run Router(0);
    run Router(1)
  }
}
