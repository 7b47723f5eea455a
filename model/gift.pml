/*
 * Tokens given from one router's ceiling to another by a message that may be
 * lost, late or repeated. That ceilings together stay within the total is what
 * ceiling.pml checks; here they are taken as granted: a claim takes from what
 * is free, a lowered one gives back, and the whole ceiling of a router that
 * dies counts as used.
 *
 * Checked: the tokens spent never exceed the total.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_GIVE_FREE     a gift is not taken out of the giver's ceiling
 *   BROKEN_DEBIT_LATE    it is taken out only when the taker has it
 *   BROKEN_GIFT_TWICE    a message that arrives twice is a gift twice
 *   BROKEN_TAKEN_BACK    a gift that got no answer is put back by the giver
 */
#define ROUTERS 2
#define TOTAL 4
#define MOST_GIFTS 3

byte free = TOTAL;
byte spent_by_all = 0;
byte gifts_made = 0;
byte copies_to[ROUTERS];   /* messages on their way */
byte unanswered[ROUTERS];  /* of the giver */

proctype Router(byte me) {
  byte ceiling = 0;
  byte used = 0;   /* of the ceiling: spent, or given away */
  byte given = 0;  /* by the other, outside this ceiling */
  byte starts = 1;

end_rest:
  do
  :: atomic { free > 0 -> free--; ceiling++ }
  /* Lower the ceiling to what is used. */
  :: ceiling > used -> d_step { free = free + ceiling - used; ceiling = used }
  :: used < ceiling ->
     atomic {
       used++;
       spent_by_all++;
       assert(spent_by_all <= TOTAL)
     }
  /* Give one: taken out here first, then sent. */
  :: used < ceiling && gifts_made < MOST_GIFTS ->
     atomic {
       gifts_made++;
#if !defined(BROKEN_GIVE_FREE) && !defined(BROKEN_DEBIT_LATE)
       used++;
#endif
       unanswered[me]++;
       copies_to[1 - me]++
     }
#ifdef BROKEN_DEBIT_LATE
  :: unanswered[me] > 0 && copies_to[1 - me] == 0 && used < ceiling ->
     atomic { unanswered[me]--; used++ }
#endif
#ifdef BROKEN_TAKEN_BACK
  :: unanswered[me] > 0 && used > 0 -> atomic { unanswered[me]--; used-- }
#endif
  /* A message arrives, or is lost. */
  :: copies_to[me] > 0 ->
     atomic {
#ifdef BROKEN_GIFT_TWICE
       given = given + 2;
#else
       given++;
#endif
       copies_to[me]--
     }
  :: copies_to[me] > 0 -> copies_to[me]--
  :: given > 0 ->
     atomic {
       given--;
       spent_by_all++;
       assert(spent_by_all <= TOTAL)
     }
  /* Die and start again: the whole ceiling counts as used, gifts are gone. */
  :: starts < 3 ->
     d_step {
       starts++;
       ceiling = 0;
       used = 0;
       given = 0
     }
  od
}

init {
  atomic {
    run Router(0);
    run Router(1)
  }
}
