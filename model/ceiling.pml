/*
 * Ceilings of one budget, kept in a durable log. Routers append claims, read
 * the log and spend up to the ceiling that they were granted. A router may
 * crash and restart at any time, and a write may take effect late.
 *
 * Checked: the tokens spent never exceed the total.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_GRANT_BEFORE_READ       spends once the claim is written, before it
 *                                  is read back
 *   BROKEN_GRANT_IGNORES_OTHERS    grants the whole claim, whatever earlier
 *                                  records left
 *   BROKEN_RESTART_FORGETS_CLAIMS  the ceiling of an earlier start is not
 *                                  counted as used
 *   BROKEN_LOWERED_WHEN_READ       a lowered ceiling applies when it is read,
 *                                  not when it is written
 *   BROKEN_NO_FENCE                late writes of an earlier start are accepted
 *   BROKEN_UNREAD_GRANT_OLD        only the newest claim limits a grant (with
 *                                  UNREAD)
 *
 * UNREAD: a router may write its next claim before it has read the last one
 * back. The total is then one token, to keep the search small.
 */
#define ROUTERS 2
#ifdef UNREAD
#define TOTAL 1
#define MAY_WRITE true
#else
#define TOTAL 2
#define MAY_WRITE (claimed == ceiling)
#endif
#define RECORDS 4

/* The log: router, start, cumulative claim of that start, and the claims of
 * earlier starts. */
byte log_router[RECORDS];
byte log_epoch[RECORDS];
byte log_claim[RECORDS];
byte log_earlier[RECORDS];
byte log_end = 0;
byte fence[ROUTERS];
byte total_spent = 0;

#ifdef BROKEN_NO_FENCE
#define ADMITTED(router, epoch) true
#else
#define ADMITTED(router, epoch) (epoch >= fence[router])
#endif

inline append(router, epoch, claim, earlier) {
  d_step {
    if
    :: log_end < RECORDS && ADMITTED(router, epoch) ->
       log_router[log_end] = router;
       log_epoch[log_end] = epoch;
       log_claim[log_end] = claim;
       log_earlier[log_end] = earlier;
       log_end++
    :: else -> skip
    fi
  }
}

/* Claims of the other router in the first `count` records; the newest
 * counts. */
inline claims_of_others(router, count, result) {
  d_step {
    result = 0;
    i = 0;
    do
    :: i < count ->
       if
       :: log_router[i] != router -> result = log_claim[i] + log_earlier[i]
       :: else -> skip
       fi;
       i++
    :: else -> break
    od;
    i = 0
  }
}

/* At most any claim written after the one that is being read. */
inline limit_by_later_claims(result) {
#ifdef BROKEN_UNREAD_GRANT_OLD
  result = (claimed < result -> claimed : result);
#else
  j = read_to + 1;
  do
  :: j < log_end ->
     if
     :: log_router[j] == me && log_epoch[j] == epoch && log_claim[j] < result ->
        result = log_claim[j]
     :: else -> skip
     fi;
     j++
  :: else -> break
  od;
  j = 0;
  if
  :: late_write && late_epoch == epoch && late_claim < result ->
     result = late_claim
  :: else -> skip
  fi
#endif
}

proctype Router(byte me) {
  byte epoch = 1;
  byte ceiling = 0; /* limit of spending */
  byte claimed = 0; /* claim in the newest record */
  byte spent = 0;
  byte earlier = 0; /* claims of earlier starts */
  byte read_to = 0; /* number of records read */
  byte others = 0;
  byte late_claim = 0;
  byte late_epoch = 0;
  byte late_earlier = 0;
  bool late_write = false; /* a write without a reply, may take effect later */
  byte i = 0;
  byte j = 0;
  byte start_count = 1;

  /* A process may stop at any time: only the tokens spent are checked. */
end_rest:
  do
  /* Claim one more token. */
  :: !(late_write && late_epoch == epoch) && MAY_WRITE && ceiling + earlier < TOTAL && log_end < RECORDS ->
     claimed = ceiling + 1;
     if
     :: append(me, epoch, claimed, earlier)
     :: late_write = true;
        late_claim = claimed;
        late_epoch = epoch;
        late_earlier = earlier
     fi;
#ifdef BROKEN_GRANT_BEFORE_READ
     ceiling = claimed
#endif
  /* The write without a reply takes effect, or never does. */
  :: late_write ->
     append(me, late_epoch, late_claim, late_earlier);
     d_step { late_write = false; late_claim = 0; late_epoch = 0; late_earlier = 0 }
  :: late_write && late_epoch != epoch ->
     d_step { late_write = false; late_claim = 0; late_epoch = 0; late_earlier = 0 }
  /* Lower the ceiling to the tokens spent. */
  :: !(late_write && late_epoch == epoch) && MAY_WRITE && claimed > spent && log_end < RECORDS ->
     claimed = spent;
#ifndef BROKEN_LOWERED_WHEN_READ
     ceiling = spent;
#endif
     append(me, epoch, claimed, earlier)
  /* Read the next record. */
  :: read_to < log_end ->
     if
     :: log_router[read_to] == me && log_epoch[read_to] == epoch ->
        claims_of_others(me, read_to, others);
        d_step {
#ifdef BROKEN_GRANT_IGNORES_OTHERS
          ceiling = (log_claim[read_to] < claimed -> log_claim[read_to] : claimed);
#else
          i = (others + earlier > TOTAL -> 0 : TOTAL - others - earlier);
          i = (log_claim[read_to] < i -> log_claim[read_to] : i);
#ifdef UNREAD
          limit_by_later_claims(i);
          ceiling = (i > ceiling -> i : ceiling);
#else
          i = (claimed < i -> claimed : i);
          ceiling = (i > spent -> i : spent);
#endif
          i = 0;
          others = 0;
#endif
#ifndef UNREAD
          if
          :: read_to + 1 == log_end -> claimed = ceiling
          :: else -> skip
          fi
#endif
        }
     :: else -> skip
     fi;
     read_to++
  /* Spend one token. */
  :: spent < ceiling ->
     atomic {
       spent++;
       total_spent++;
       assert(total_spent <= TOTAL)
     }
  /* Crash and restart: only the log remains. */
  :: start_count < 2 ->
     start_count++;
     atomic {
       epoch++;
       fence[me] = epoch
     };
     d_step {
       earlier = 0;
       i = 0;
       do
       :: i < log_end ->
          if
#ifndef BROKEN_RESTART_FORGETS_CLAIMS
          :: log_router[i] == me -> earlier = log_claim[i] + log_earlier[i]
#else
          :: false -> skip
#endif
          :: else -> skip
          fi;
          i++
       :: else -> break
       od;
       read_to = log_end;
       i = 0;
       ceiling = 0;
       claimed = 0;
       spent = 0
     }
  :: log_end == RECORDS && read_to == log_end && spent >= ceiling && !late_write -> break
  od
}

init {
  atomic {
    run Router(0);
    run Router(1)
  }
}
