/* tasks: one task, its owner cell A and a second cell B (src/cell*.c, src/scheduler*.c).

   A has two workers with leases, B has one.  The task may be evicted, checkpointed and resumed,
   lost with its worker, handed to B, or taken over by B's standby copy after the registry closed A's
   cell epoch.  A's leader changes at any time; A may be isolated for any time.  Messages between
   cells and to and from A's workers are delayed, duplicated or lost.  Both logs are reliable
   (raft.pml).  Times are remaining ticks; ticks occur at any point, so executions are unbounded.

   Rules checked: the task runs in at most one place; only one cell may resume it; it is not lost.
   Not modelled: worker crashes, hand-back from B, tasks without a standby copy.  */

#define LEASE 2  /* lease of a worker in ticks */
#define PERMIT 1 /* start permit of A in ticks */
#define GRACE 2  /* ticks for which an isolated A still renews leases */
#ifndef MAX_EPOCH
#define MAX_EPOCH 3 /* number of epochs that A may use */
#endif

/* States of the task in A's and in B's log.  */
#define NONE 0
#define PENDING 1
#define PLACED 2
#define STOPPING 3
#define OFFERED 4
#define MOVED 5
#define DONE 6
#define STANDBY 7

typedef worker
{
  byte runs;   /* epoch of the run, 0: none */
  byte lease;  /* remaining ticks while it runs */
  byte report; /* 2 * epoch + done, 0: none; resent until it is answered */
  byte seen;   /* highest epoch that ran here */
  bool poll;   /* a poll is in flight */
  byte rest;   /* lease that the answer to the poll may still grant */
  byte polled; /* report in the poll */
  byte start;  /* epoch of the start command in flight, 0: none */
};

worker w[2];   /* workers of A */
byte a = PENDING;
byte a_epoch = 1;
byte a_worker;
byte silence;  /* ticks until A's leader considers a_worker lost */
bool a_closed; /* A has applied the closing of its cell epoch */
bool stop_closed; /* the task is being stopped because A's cell epoch was closed */
byte contact;  /* remaining permit of A plus GRACE; the permit is valid while above GRACE */
bool closed;   /* the registry has closed A's cell epoch */
byte wait;     /* ticks until every lease under the closed epoch has expired */
byte b = NONE;
bool b_old;    /* the standby copy belongs to the closed cell epoch */
byte answered; /* B's record of the last offer: 2 * epoch + accepted */
byte offer;    /* epoch of the offer in flight, 0: none */
byte answer;   /* in flight: 2 * epoch + accepted */

#define B_OWNS (b == PENDING || b == PLACED || b == DONE)
#define LESS(x, y) (x < y -> x : y)
#define DOWN(x) x = (x > 0 -> x - 1 : 0)

inline check ()
{
  assert ((w[0].runs != 0) + (w[1].runs != 0) + (b == PLACED) <= 1); /* runs in one place */
  assert (!(B_OWNS && (a == PENDING || a == PLACED) && (!closed || a_closed))); /* one owner */
  assert (a != MOVED || B_OWNS) /* not lost */
}

inline stop_run (i, done)
{
  w[i].report = 2 * w[i].runs + done;
  w[i].runs = 0;
  w[i].lease = 0
}

/* A start command expires with the permit, which lasts one tick (PERMIT): each tick drops it.  */
inline tick_worker (i)
{
  DOWN (w[i].lease);
  DOWN (w[i].rest);
  w[i].start = 0;
  if
  :: w[i].lease == 0 && w[i].runs -> stop_run (i, 0)
  :: else
  fi
}

inline tick ()
{
  tick_worker (0);
  tick_worker (1);
  DOWN (silence);
  DOWN (contact);
  DOWN (wait)
}

/* The task has left its worker; if its cell epoch was closed, it moves to the cell of the copy.  */
#define FREED (a_closed && stop_closed -> OFFERED : PENDING)

inline freed ()
{
  a = FREED;
  stop_closed = false
}

#ifdef NO_EPOCH_CHECK
#define OWN_REPORT(i) true
#else
#define OWN_REPORT(i) (w[i].polled / 2 == a_epoch && a_worker == i)
#endif

/* Don't renew a task that is stopped because its cell epoch was closed: the copy may run.  */
#ifdef CLOSED_TASK_IS_RENEWED
#define RENEWABLE(i) true
#else
#define RENEWABLE(i) (!(stop_closed && a_worker == i))
#endif

inline end_poll (i)
{
  w[i].poll = false;
  w[i].rest = 0;
  w[i].polled = 0
}

/* The leader commits the report before its answer tells the worker to drop it.  */
inline handle_poll (i)
{
  silence = (a_worker == i -> LEASE : silence);
  w[i].rest = (RENEWABLE (i) -> LESS (w[i].rest, contact) : 0);
  if
  :: w[i].polled && (a == PLACED || a == STOPPING) && OWN_REPORT (i) ->
    if
    :: w[i].polled % 2 ->
      a = DONE;
      stop_closed = false
    :: else -> freed ()
    fi
  :: else
  fi
}

/* A delayed answer only shortens the lease, so answers are delivered at once in the model.  */
inline answer_poll (i)
{
  handle_poll (i);
  w[i].lease = (w[i].runs && w[i].rest > w[i].lease -> w[i].rest : w[i].lease);
  w[i].report = (w[i].report == w[i].polled -> 0 : w[i].report);
  end_poll (i);
  check ()
}

inline lose_answer (i)
{
  handle_poll (i);
  end_poll (i);
  check ()
}

#ifdef NO_LEASE_WAIT
#define NEW_LEADER_WAIT 0
#else
#define NEW_LEADER_WAIT LEASE
#endif

/* A new leader has no permit and must not renew tasks with a copy before it gets one; otherwise
   each leader change in an isolated cell would extend them by another GRACE.  */
#ifdef NEW_LEADER_RENEWS
#define NEW_LEADER_CONTACT GRACE
#else
#define NEW_LEADER_CONTACT 0
#endif

inline new_leader ()
{
  contact = NEW_LEADER_CONTACT;
  silence = NEW_LEADER_WAIT
}

inline place (i)
{
  a = PLACED;
  a_epoch++;
  a_worker = i
}

/* Answers a poll: the start command is sent with a lease and expires before it.  A poll is held
   for less than the lease, so the command also expires before its worker is considered lost.  */
inline send_start (i)
{
  silence = LEASE;
  w[i].start = a_epoch
}

/* The worker refuses epochs up to the highest it has run.  The command may be duplicated.  */
inline run_start (i)
{
  w[i].runs = w[i].start;
  w[i].seen = w[i].start;
  w[i].lease = LEASE;
  check ()
}

#ifdef SENDER_FORGETS_EARLY
#define OFFER_STATE MOVED
#else
#define OFFER_STATE OFFERED
#endif

inline make_offer ()
{
  a = OFFER_STATE;
  a_epoch++;
  offer = a_epoch
}

inline b_accept ()
{
  if
  :: answered / 2 >= offer
  :: answered / 2 < offer && !B_OWNS ->
    b = PENDING;
    b_old = false;
    answered = 2 * offer + 1
  :: answered / 2 < offer && B_OWNS -> answered = 2 * offer + 1
  fi;
  answer = (answered / 2 == offer -> answered : 2 * offer + (answered % 2));
  offer = 0;
  check ()
}

/* B refuses only tasks that it does not own.  A refusal returns the task to A, so it must also
   delete the standby copy: A may run the task under its next cell epoch.  */
#ifdef REFUSAL_KEEPS_COPY
#define AFTER_REFUSAL b
#else
#define AFTER_REFUSAL NONE
#endif

inline b_refuse ()
{
  answered = 2 * offer;
  answer = answered;
  b = AFTER_REFUSAL;
  b_old = b_old && b == STANDBY;
  offer = 0
}

inline a_answered ()
{
  if
  :: a == OFFERED && answer / 2 == a_epoch && answer % 2 -> a = MOVED
  :: a == OFFERED && answer / 2 == a_epoch && answer % 2 == 0 ->
    a = PENDING;
    a_epoch++
  :: else
  fi;
  answer = 0;
  check ()
}

inline put_copy ()
{
  b = STANDBY;
  b_old = !a_closed
}

inline close_epoch ()
{
  closed = true;
  wait = PERMIT + GRACE
}

inline apply_closed ()
{
  a_closed = true;
  if
  :: a == PENDING -> a = OFFERED
  :: a == PLACED || a == STOPPING ->
    a = STOPPING;
    stop_closed = true
  :: else
  fi;
  check ()
}

#ifdef COPY_WITHOUT_CLOSED_EPOCH
#define COPY_MAY_START true
#else
#ifdef COPY_WITHOUT_WAIT
#define COPY_MAY_START closed
#else
#define COPY_MAY_START (closed && wait == 0)
#endif
#endif

inline start_copy ()
{
  b = PENDING;
  b_old = false;
  check ()
}

inline b_run ()
{
  b = PLACED;
  check ()
}

#define PERMIT_LEFT (contact > GRACE)
#define ON_WORKER(i) ((a == PLACED || a == STOPPING) && a_worker == i)
#define WORKER(i) \
  :: d_step { !w[i].poll && (w[i].runs || w[i].report || ON_WORKER (i)) \
              -> w[i].poll = true; w[i].rest = LEASE; w[i].polled = w[i].report } \
  :: d_step { w[i].poll -> answer_poll (i) } \
  :: d_step { w[i].poll -> lose_answer (i) } \
  :: d_step { w[i].poll -> end_poll (i) } \
  :: d_step { w[i].runs -> stop_run (i, 1) } \
  :: d_step { a == PENDING && PERMIT_LEFT && a_epoch < MAX_EPOCH -> place (i) } \
  :: d_step { a == PLACED && a_worker == i && PERMIT_LEFT && w[i].start == 0 -> send_start (i) } \
  :: d_step { w[i].start > w[i].seen && w[i].runs == 0 -> run_start (i) } \
  :: d_step { w[i].start -> w[i].start = 0 } \
  :: d_step { a == STOPPING && a_worker == i && w[i].runs == a_epoch -> stop_run (i, 0) } \
  :: d_step { ON_WORKER (i) && silence == 0 -> freed (); check () }

active proctype tasks ()
{
  do
  :: d_step { tick () }
  WORKER (0)
  WORKER (1)
  :: d_step { true -> new_leader () }
  :: d_step { !closed || a_closed -> contact = PERMIT + GRACE }
  :: d_step { a == PLACED -> a = STOPPING }
  :: d_step { a == PENDING && a_epoch < MAX_EPOCH -> make_offer () }
  :: d_step { a == OFFERED && offer == 0 -> offer = a_epoch }
  :: d_step { offer -> b_accept () }
  :: d_step { offer && !B_OWNS && answered / 2 < offer -> b_refuse () }
  :: d_step { offer -> offer = 0 }
  :: d_step { answer -> a_answered () }
  :: d_step { answer -> answer = 0 }
  :: d_step { a >= PENDING && a <= STOPPING && (b == NONE || b == STANDBY) && answered / 2 < a_epoch
              -> put_copy () }
  :: d_step { !closed -> close_epoch () }
  :: d_step { closed && !a_closed -> apply_closed () }
  :: d_step { b == STANDBY && b_old && COPY_MAY_START -> start_copy () }
  :: d_step { b == PENDING -> b_run () }
  :: d_step { b == PLACED -> b = PENDING }
  :: d_step { b == PLACED -> b = DONE }
  od
}
