/* requests: unrepeatable requests (src/proxy*.c, src/intent_store.c, src/cell_intent.c).

   One request key, retried any number of times through two entries.  An entry has the intent
   committed in the home cell, sends the request to a runner and commits the outcome.  Entries crash
   at any point.  Proposals and tries stay pending when their entry crashes or abandons them: a
   proposal may be committed late or never, a try may be executed late or never.

   Rules checked: the work is executed at most once; an answer "not run" is true and stays
   true.  */

#define ENTRIES 2
#define MAX_LATE 2 /* abandoned tries that may still be executed */

#define IDLE 0
#define ASKING 1 /* the intent is proposed */
#define MAY_SEND 2
#define SENT 3   /* bytes of the request were sent */
#define ENDING 4 /* the outcome is proposed */

#define NONE 0
#define BEGUN 1
#define RAN 2     /* finished: the work ran; the answer is recorded */
#define NOT_RUN 3 /* finished: it did not run */
#define UNKNOWN 4 /* finished: whether it ran is unknown */

byte entry[ENTRIES];
byte outcome[ENTRIES]; /* outcome to be recorded, while ENDING */
byte try[ENTRIES];     /* 0: none, 1: pending, 2: executed, 3: refused by the runner, not run */
byte intent;           /* committed in the home cell */
bool late_begin;       /* an abandoned proposal of the intent is pending */
byte late_end;         /* outcome in a pending abandoned proposal, 0: none */
byte late_tries;       /* number of pending abandoned tries */
byte executed;
bool told_not_run;

inline execute ()
{
  assert (!told_not_run);
  executed++;
  assert (executed == 1)
}

inline tell_not_run ()
{
  assert (executed == 0);
  told_not_run = true
}

inline finish (with)
{
  if
  :: intent == BEGUN -> intent = with
  :: else
  fi
}

inline go_idle (i)
{
  entry[i] = IDLE;
  outcome[i] = 0;
  try[i] = 0
}

/* The entry crashes, or abandons the request with an unknown outcome.  */
inline abandon (i)
{
  late_begin = late_begin || entry[i] == ASKING;
  late_end = (entry[i] == ENDING -> outcome[i] : late_end);
  late_tries = (try[i] == 1 && late_tries < MAX_LATE -> late_tries + 1 : late_tries);
  go_idle (i)
}

/* The home cell commits the intent of entry I and sends it the result.  */
inline begin (i)
{
  if
  :: intent == NONE ->
    intent = BEGUN;
    entry[i] = MAY_SEND
  :: intent == BEGUN -> go_idle (i) /* the caller gets "in progress" */
  :: intent == NOT_RUN ->
    tell_not_run ();
    go_idle (i)
  :: else -> go_idle (i)
  fi
}

inline record (i)
{
  finish (outcome[i]);
  if
  :: intent == NOT_RUN -> tell_not_run ()
  :: else
  fi;
  go_idle (i)
}

inline end_with (i, with)
{
  entry[i] = ENDING;
  outcome[i] = with;
  try[i] = 0
}

#ifdef SEND_BEFORE_INTENT
#define READY(i) (entry[i] == ASKING || entry[i] == MAY_SEND)
#else
#define READY(i) (entry[i] == MAY_SEND)
#endif

#ifdef RETRY_AFTER_SENT
#define RETRY(i) \
  :: d_step { entry[i] == SENT && try[i] == 1 && late_tries < MAX_LATE \
              -> late_tries++; try[i] = 0; entry[i] = MAY_SEND }
#else
#define RETRY(i)
#endif

#ifdef NOT_RUN_AFTER_SENT
#define LOST_TRY NOT_RUN
#else
#define LOST_TRY UNKNOWN
#endif

/* The intent can't be committed now.  An earlier attempt through another entry may have run the
   work, so "not run" could be wrong for the key; the answer is "unknown, retry".  */
#ifdef NOT_RUN_WHEN_UNREACHABLE
#define UNREACHABLE(i) :: d_step { entry[i] == ASKING -> tell_not_run (); go_idle (i) }
#else
#define UNREACHABLE(i) :: d_step { entry[i] == ASKING -> go_idle (i) }
#endif

#define ENTRY(i) \
  :: d_step { entry[i] == IDLE -> entry[i] = ASKING } \
  :: d_step { entry[i] == ASKING -> begin (i) } \
  UNREACHABLE (i) \
  :: d_step { READY (i) -> entry[i] = SENT; try[i] = 1 } \
  :: d_step { entry[i] == MAY_SEND -> end_with (i, NOT_RUN) } /* no runner could be reached */ \
  :: d_step { try[i] == 1 -> execute (); try[i] = 2 } \
  :: d_step { try[i] == 1 -> try[i] = 3 } \
  :: d_step { entry[i] == SENT && try[i] == 2 -> end_with (i, RAN) } \
  :: d_step { entry[i] == SENT && try[i] == 3 -> entry[i] = MAY_SEND; try[i] = 0 } \
  :: d_step { entry[i] == SENT && try[i] == 1 && late_tries < MAX_LATE \
              -> late_tries++; end_with (i, LOST_TRY) } /* connection lost or timeout */ \
  :: d_step { entry[i] == SENT && try[i] == 2 -> end_with (i, LOST_TRY) } /* answer lost */ \
  RETRY (i) \
  :: d_step { entry[i] == ENDING -> record (i) } \
  :: d_step { entry[i] != IDLE -> abandon (i) }

active proctype requests ()
{
  do
  ENTRY (0)
  ENTRY (1)
  :: d_step { late_begin && intent == NONE -> intent = BEGUN; late_begin = false }
  :: d_step { late_begin -> late_begin = false }
  :: d_step { late_end -> finish (late_end); late_end = 0 }
  :: d_step { late_end -> late_end = 0 }
  :: d_step { late_tries -> late_tries--; execute () }
  :: d_step { late_tries -> late_tries-- }
  od
}
