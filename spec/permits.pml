/* permits: start permits of one cell (src/permit.c, src/registry*.c, src/scheduler*.c).

   Two registry nodes take turns as leader, any number of times; the one that lost leadership may go
   on for ever without knowing it.  One node of the cell holds permits and may be a paused or cut-off
   former cell leader; a second holder needs no place in the model, because nothing that the rules
   use is shared between holders.  One worker polls and gets a start command.  Messages take any time
   or are lost; any process may pause between any two steps.  Time is a tick that may come at any
   point; every time is kept as what is left or has passed, so runs have no end.

   Rules checked: a start never comes more than LIFE after operators took the data centre out, and
   never after the registry reported the out command as in force.  */

#ifndef LIFE
#define LIFE 2 /* life of a permit in ticks */
#endif

/* Registry node.  `view_out` is the data centre's state as it has applied it.  */
typedef granter
{
  bool leads;     /* believes that it leads */
  bool view_out;
  bool asking;    /* a quorum round is under way that began while this node was the leader */
  byte round_age; /* since it began, at most LIFE */
  byte confirmed; /* LIFE minus the age of the last confirmed round, 0: none */
};

granter g[2];
byte leader;    /* the true leader */
byte inherited; /* its wait until earlier leaders' permits have expired */
byte granted;   /* until the permits it granted to the holder have expired */
bool out;       /* committed state of the data centre */
byte out_age;   /* since it was accepted, at most LIFE + 1 */
bool in_force;  /* reported */
bool reported;  /* the holder's report that it has stopped has been committed */
byte left;      /* of the permit held */
byte ask;       /* 0: no request under way; 1: request, 2: grant, on its way */
byte ask_age;   /* since it was asked for, at most LIFE */
byte life;      /* in the grant */
bool stopped;   /* the holder gave its permit up because the data centre is out */
bool ignored;   /* answers to the request under way are ignored */
byte poll;      /* 0: none; 1 + age: on its way; HANDLED + transit time: handled */
byte start;     /* 0: none, else 1 + what is left of its validity */

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

/* Registry node I grants, or refuses, which ends the request.  */
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

/* A start command that was sent may still be carried out until its validity ends, so only then may
   the holder report that it has stopped.  */
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

/* valid = (now - time the poll was handled) + permit left, counted from when the poll was sent;
   what is left of it now is the permit's rest minus the poll's transit.  */
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
