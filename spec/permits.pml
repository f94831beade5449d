/* permits: start permits of one cell (src/permit.c, src/registry*.c, src/scheduler*.c).

   Leadership alternates between two registry nodes any number of times; a deposed leader may remain
   unaware of it indefinitely.  One node of the cell holds permits and may be a paused or isolated
   former cell leader; a second holder is not modelled, because the rules use no state that holders
   share.  One worker polls and gets a start command.  Messages are delayed arbitrarily or lost; any
   process may pause between any two steps.  A clock tick may occur at any point; times are stored
   as remaining or elapsed ticks, so executions are unbounded.

   Rules checked: a start never comes more than LIFE after operators took the data centre out, and
   never after the registry reported the out command as in force.  */

#ifndef LIFE
#define LIFE 2 /* lifetime of a permit in ticks */
#endif

/* Registry node.  `view_out` is the state of the data centre that it has applied.  */
typedef granter
{
  bool leads;     /* believes that it is the leader */
  bool view_out;
  bool asking;    /* a quorum round that began while this node was the leader is pending */
  byte round_age; /* ticks since it began, at most LIFE */
  byte confirmed; /* LIFE minus the age of the last confirmed round, 0: none */
};

granter g[2];
byte leader;    /* the actual leader */
byte inherited; /* ticks until permits of earlier leaders have expired */
byte granted;   /* ticks until the permits `leader` granted to the holder have expired */
bool out;       /* committed state of the data centre */
byte out_age;   /* ticks since the last out or return was accepted, at most LIFE + 1 */
bool in_force;  /* the out command was reported as in force */
bool reported;  /* the holder's report that it has stopped has been committed */
byte left;      /* remaining ticks of the held permit */
byte ask;       /* 0: no request pending; 1: request in flight; 2: grant in flight */
byte ask_age;   /* ticks since the request, at most LIFE */
byte life;      /* lifetime in the grant */
bool stopped;   /* the holder dropped its permit because the data centre is out */
bool ignored;   /* answers to the pending request are ignored */
byte poll;      /* 0: none; 1 + age: in flight; HANDLED + transit time: handled */
byte start;     /* 0: none, else 1 + remaining validity */

#define HANDLED 16
#define ON_ITS_WAY (poll > 0 && poll < HANDLED)
#define DOWN(x) x = (x > 0 -> x - 1 : 0)
#define UP(x, max) x = (x < max -> x + 1 : max)

inline tick ()
{
  DOWN (g[0].confirmed);
  DOWN (g[1].confirmed);
  DOWN (inherited);
  DOWN (granted);
  DOWN (left);
  g[0].round_age = (g[0].asking && g[0].round_age < LIFE -> g[0].round_age + 1 : g[0].round_age);
  g[1].round_age = (g[1].asking && g[1].round_age < LIFE -> g[1].round_age + 1 : g[1].round_age);
  ask_age = (ask && ask_age < LIFE -> ask_age + 1 : ask_age);
  poll = (ON_ITS_WAY && poll < 1 + LIFE -> poll + 1 : poll);
  start = (start > 1 -> start - 1 : start);
  out_age = (out && out_age <= LIFE -> out_age + 1 : out_age)
}

inline end_round (i)
{
  g[i].asking = false;
  g[i].round_age = 0
}

inline elect (i)
{
  leader = i;
  end_round (i);
  g[i].leads = true;
  g[i].view_out = out;
  g[i].confirmed = 0;
  inherited = LIFE;
  granted = 0
}

inline confirm (i)
{
  g[i].confirmed = (LIFE - g[i].round_age > g[i].confirmed -> LIFE - g[i].round_age
                                                           : g[i].confirmed);
  end_round (i)
}

inline step_down (i)
{
  end_round (i);
  g[i].leads = false;
  g[i].view_out = false;
  g[i].confirmed = 0
}

inline change_state (new_out)
{
  out = new_out;
  out_age = 0;
  in_force = false;
  reported = false;
  stopped = false;
  g[leader].view_out = new_out
}

inline end_ask ()
{
  ask = 0;
  ask_age = 0;
  life = 0;
  ignored = false
}

#ifdef NO_CONFIRM
#define LIFE_TO_GRANT(i) LIFE
#else
#define LIFE_TO_GRANT(i) g[i].confirmed
#endif

/* Registry node I grants or refuses the request; a refusal ends it.  */
inline grant (i)
{
  if
  :: g[i].leads && !g[i].view_out && LIFE_TO_GRANT (i) > 0 ->
    ask = 2;
    life = LIFE_TO_GRANT (i);
    granted = (leader == i && granted < life -> life : granted)
  :: else -> end_ask ()
  fi
}

#ifdef LIFE_FROM_RECEIPT
#define LIFE_LEFT life
#else
#define LIFE_LEFT (life > ask_age -> life - ask_age : 0)
#endif

inline take_grant ()
{
  left = (!ignored && LIFE_LEFT > left -> LIFE_LEFT : left);
  end_ask ()
}

inline stop ()
{
  left = 0;
  stopped = true;
  ignored = (ask != 0)
}

/* A sent start command may still be executed until its validity ends; only then may the holder
   report that it has stopped.  */
#ifdef REPORT_STOP_EARLY
#define MAY_REPORT true
#else
#define MAY_REPORT (start <= 1)
#endif

#ifdef NO_WAIT_FOR_EARLIER_LEADER
#define ALL_EXPIRED (granted == 0 || reported)
#else
#define ALL_EXPIRED (inherited == 0 && (granted == 0 || reported))
#endif

/* Counted from the sending of the poll, the command is valid for the remaining permit plus the time
   since the poll was handled.  Now there remains: permit minus transit time (poll - HANDLED).  */
inline send_start ()
{
  start = 1 + (left > poll - HANDLED -> left - (poll - HANDLED) : 0);
  poll = 0
}

#ifdef NO_VALIDITY
#define STILL_VALID true
#else
#define STILL_VALID (start > 1)
#endif

inline run_start ()
{
  assert (!(out && out_age > LIFE)); /* accepted + bound */
  assert (!in_force);
  start = 0
}

#define GRANTER(i) \
  :: d_step { leader != i -> elect (i) } \
  :: d_step { leader == i && !g[i].asking -> g[i].asking = true } \
  :: d_step { g[i].asking -> confirm (i) } \
  :: d_step { g[i].asking -> end_round (i) } \
  :: d_step { g[i].leads && leader != i -> step_down (i) } \
  :: d_step { ask == 1 -> grant (i) }

active proctype permits ()
{
  d_step { g[0].leads = true }
  do
  :: d_step { tick () }
  :: d_step { !out -> change_state (true) }
  :: d_step { out -> change_state (false) }
  :: d_step { out && !in_force && ALL_EXPIRED -> in_force = true }
  GRANTER (0)
  GRANTER (1)
  :: d_step { ask == 0 -> ask = 1 }
  :: d_step { ask == 2 -> take_grant () }
  :: d_step { ask -> end_ask () }
  :: d_step { out && !stopped -> stop () }
  :: d_step { out && stopped && !reported && MAY_REPORT -> reported = true }
  :: d_step { poll == 0 -> poll = 1 }
  :: d_step { ON_ITS_WAY -> poll = HANDLED + poll - 1 }
  :: d_step { poll >= HANDLED && start == 0 && left > 0 -> send_start () }
  :: d_step { poll -> poll = 0 }
  :: d_step { start && STILL_VALID -> run_start () }
  :: d_step { start -> start = 0 }
  od
}
