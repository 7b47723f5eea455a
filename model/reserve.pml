/*
 * What a start of a router held back when it died. A claim has two parts: what
 * may be spent at once, and a reserve that is not touched before a stated time
 * of the VM's clock. A successor on the same VM that began before that time
 * counts the first part only as spent; any other counts all of it.
 *
 * The ceiling is taken as granted: model/ceiling.pml checks that.
 *
 * Checked: a start that ended never spent more than its successor counts, and
 * spends nothing afterwards.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_OTHER_BOOT        the boot is not compared: its clock began anew
 *   BROKEN_CLOCK_OF_DAY      a clock that may be set back
 *   BROKEN_UNACKED           a raise of the first part holds before it is written
 *   BROKEN_ALIVE             a successor need not wait for the earlier start's end
 *   BROKEN_TIME_BEFORE_LOCK  the time is read before the earlier start ended
 *   BROKEN_TWO_SUCCESSORS    a start that wrote nothing vouches for the one before
 */
#define CEILING 2
#define SPAN 2
#define NONE 255
/* Two starts with two records each, or, with THREE, three with one each. */
#ifdef THREE
#define STARTS 3
#define RECORDS 1
#define LAST_TICK 3
#else
#define STARTS 2
#define RECORDS 2
#define LAST_TICK 4
#endif

/* The VM. */
byte clock = 0;
byte boot = 1;
bool locked = false;     /* a start holds the VM's port */

/* The newest record of this router in the log, and the fence. */
byte rec_early = 0;
byte rec_ceiling = 0;
byte rec_not_before = 0;
byte rec_written = 0;
byte rec_boot = 0;
byte rec_retired = 0;
byte fence = 0;

/* Truly spent by all starts, and whether a late write is on its way. */
byte spent_by_all = 0;
byte began = 0;          /* starts so far */
byte vouched_at = NONE;  /* of the last start that proved something */

#ifdef BROKEN_OTHER_BOOT
#define SAME_BOOT true
#else
#define SAME_BOOT (rec_boot == boot)
#endif
#define PROVED(at) (SAME_BOOT && rec_written <= at && at < rec_not_before)

inline take_record() {
  rec_early = f_early;
  rec_ceiling = CEILING;
  rec_not_before = f_not_before;
  rec_written = f_written;
  rec_boot = f_boot;
  rec_retired = retired
}

proctype Start(byte epoch) {
  byte spent = 0;
  byte early = 0;         /* of the record known to be written */
  byte not_before = 0;
  byte f_early = 0;       /* of the record that is on its way */
  byte f_not_before = 0;
  byte f_written = 0;
  byte f_boot = 0;
  byte my_boot = boot;
  byte retired = 0;
  byte at = NONE;
  byte records = 0;
  bool flight = false;
  bool done = false;      /* the store took it */
  bool stated = false;    /* a record of this start is known to be written */

#ifdef BROKEN_TIME_BEFORE_LOCK
  at = clock;
#endif
#ifdef BROKEN_ALIVE
  atomic { at = clock };
#else
  /* Only one start can hold the port. */
  atomic { !locked -> locked = true;
#ifndef BROKEN_TIME_BEFORE_LOCK
    at = clock
#endif
  };
#endif
#ifdef BROKEN_TWO_SUCCESSORS
  /* The time at which an earlier successor vouched is taken for this one. */
  if
  :: vouched_at != NONE -> at = vouched_at
  :: else -> vouched_at = at
  fi;
#endif
  fence = epoch;
  d_step {
    retired = rec_retired + (PROVED(at) -> rec_early : rec_ceiling)
  };
  assert(spent_by_all <= retired);
  if
  :: epoch == STARTS -> goto ended  /* nothing comes after it */
  :: else -> skip
  fi;

end_rest:
  do
  /* State what may be spent at once, and from when on the rest. */
  :: !flight && my_boot == boot && records < RECORDS ->
     d_step {
       records++;
       flight = true;
       done = false;
       f_written = clock;
       f_not_before = clock + SPAN;
       f_boot = boot
     };
     if
     :: f_early = spent
     :: f_early = (spent < CEILING -> spent + 1 : spent)
     fi
  /* The store takes it: now, or long after. */
  :: atomic { flight && !done && fence <= epoch ->
       take_record();
       done = true
     }
  /* Its answer comes. */
  :: flight && done && my_boot == boot ->
     d_step {
       flight = false;
       stated = true;
       early = f_early;
       not_before = f_not_before
     }
  /* Spend one. */
  :: my_boot == boot && stated && spent < CEILING &&
#ifndef BROKEN_UNACKED
     (spent < early || clock >= not_before) &&
#endif
     (!flight || spent < f_early || clock >= f_not_before) ->
     atomic {
       spent++;
       spent_by_all++;
       /* Once a later start counts this one, nothing more may be spent. */
       assert(fence <= epoch)
     }
  /* Die: the process alone. */
  :: my_boot == boot && began < STARTS ->
     atomic {
       began++;
       locked = false;
       run Start(began)
     };
     break
#ifdef BROKEN_ALIVE
  /* Another start begins beside it. */
  :: my_boot == boot && began < STARTS ->
     atomic {
       began++;
       run Start(began)
     }
#endif
#ifdef BROKEN_TIME_BEFORE_LOCK
  /* The next start is made ready while this one still runs. */
  :: my_boot == boot && began < STARTS ->
     atomic {
       began++;
       run Start(began)
     }
  :: my_boot == boot -> locked = false; break
#endif
  /* The VM loses power: its clock begins anew. */
  :: my_boot == boot && began < STARTS ->
     atomic {
       began++;
       boot++;
       clock = 0;
       locked = false;
       run Start(began)
     };
     break
  od;
ended:
  /* What it had sent may still be done. */
  if
  :: atomic { flight && !done && fence <= epoch -> take_record() }
  :: true -> skip
  fi;
  d_step {
    spent = 0; early = 0; not_before = 0; f_early = 0; f_not_before = 0;
    f_written = 0; f_boot = 0; my_boot = 0; retired = 0; at = 0; records = 0;
    flight = false; done = false; stated = false
  }
}

proctype Time() {
end_time:
  do
  :: clock < LAST_TICK -> clock++
#ifdef BROKEN_CLOCK_OF_DAY
  :: clock > 1 -> clock = clock - 2
#endif
  od
}

init {
  atomic {
    began = 1;
    run Time();
    run Start(1)
  }
}
