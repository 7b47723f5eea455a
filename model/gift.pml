/*
 * Tokens transferred ("gift") from one router's ceiling to another router by a
 * message that may be lost, late or repeated. ceiling.pml checks that all
 * ceilings together stay within the total; this model assumes it: a claim takes
 * free tokens, a lowered claim returns them, and the whole ceiling of a router
 * that crashes counts as used.
 *
 * Checked: the tokens spent never exceed the total.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_NO_DEBIT              a gift is not debited from the sender's ceiling
 *   BROKEN_DEBIT_LATE            it is debited only after the receiver has it
 *   BROKEN_CREDITED_TWICE        a message that arrives twice is credited twice
 *   BROKEN_REFUND_WITHOUT_REPLY  the sender takes an unanswered gift back
 */
#define ROUTERS 2
#define TOTAL 4
#define MAX_GIFTS 3

byte free = TOTAL;
byte total_spent = 0;
byte gifts_sent = 0;
byte in_flight_to[ROUTERS]; /* messages in flight */
byte unanswered[ROUTERS];   /* by sender */

proctype Router(byte me) {
  byte ceiling = 0;
  byte used = 0;     /* part of the ceiling that was spent or sent away */
  byte received = 0; /* from the other router, outside this ceiling */
  byte start_count = 1;

end_rest:
  do
  :: atomic { free > 0 -> free--; ceiling++ }
  /* Lower the ceiling to the tokens used. */
  :: ceiling > used -> d_step { free = free + ceiling - used; ceiling = used }
  :: used < ceiling ->
     atomic {
       used++;
       total_spent++;
       assert(total_spent <= TOTAL)
     }
  /* Send a gift of one token: debited here first, then sent. */
  :: used < ceiling && gifts_sent < MAX_GIFTS ->
     atomic {
       gifts_sent++;
#if !defined(BROKEN_NO_DEBIT) && !defined(BROKEN_DEBIT_LATE)
       used++;
#endif
       unanswered[me]++;
       in_flight_to[1 - me]++
     }
#ifdef BROKEN_DEBIT_LATE
  :: unanswered[me] > 0 && in_flight_to[1 - me] == 0 && used < ceiling ->
     atomic { unanswered[me]--; used++ }
#endif
#ifdef BROKEN_REFUND_WITHOUT_REPLY
  :: unanswered[me] > 0 && used > 0 -> atomic { unanswered[me]--; used-- }
#endif
  /* A message arrives, or is lost. */
  :: in_flight_to[me] > 0 ->
     atomic {
#ifdef BROKEN_CREDITED_TWICE
       received = received + 2;
#else
       received++;
#endif
       in_flight_to[me]--
     }
  :: in_flight_to[me] > 0 -> in_flight_to[me]--
  :: received > 0 ->
     atomic {
       received--;
       total_spent++;
       assert(total_spent <= TOTAL)
     }
  /* Crash and restart: the whole ceiling counts as used, received gifts are
   * lost. */
  :: start_count < 3 ->
     d_step {
       start_count++;
       ceiling = 0;
       used = 0;
       received = 0
     }
  od
}

init {
  atomic {
    run Router(0);
    run Router(1)
  }
}
