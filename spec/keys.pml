/* keys: keys of client accounts (src/workflow/accounts.c, platform/api.c, workflow_service.c).

   Two core VMs; a configuration takes a key away, a later one may bring it back.  A committed
   configuration is in the log of every later leader (checked by raft.pml); here a VM learns it at
   any later time, or by a snapshot, and may crash, lose its disk or be paused at any point.  A call
   goes to a VM that believes that it leads.  The VM answers by its applied configuration after a
   quorum has confirmed, since the call came, that no later leader exists; a new leader answers
   nothing before its own log is applied.

   Rules checked: once the removal was acknowledged, no call that is sent later is served by that
   key until a newer configuration brings it back; a VM that has refused the key serves it only by
   such a configuration.  */

#define VMS 2
#define VERSIONS 4 /* version 1 has the key, 2 takes it away, 3 is without it, 4 brings it back */
#define HAS_KEY(v) ((v) == 1 || (v) == 4)

byte committed = 1;
byte acknowledged = 1;
byte applied[VMS] = 1;
bool leads[VMS];   /* believes that it leads */
byte leader;       /* the latest elected one, VMS: none */
byte refused[VMS]; /* version by which the VM refused the key last, 0: never */
bool open[VMS];    /* a call waits here for its confirmation */
byte sent_at[VMS]; /* newest acknowledged version when the call was sent */

#ifdef NO_CONFIRMATION
#define CONFIRMED(v) true
#else
#define CONFIRMED(v) (v == leader)
#endif

inline elect (v)
{
  leader = v;
  leads[v] = true;
#ifndef NO_WAIT_FOR_LOG
  applied[v] = committed;
#endif
}

inline commit (v)
{
  committed++;
  applied[v] = committed
}

inline answer (v)
{
  open[v] = false;
  if
  :: HAS_KEY (applied[v]) ->
     /* served */
     assert (sent_at[v] < 2 || sent_at[v] > 3 || applied[v] > sent_at[v]);
     assert (refused[v] == 0 || applied[v] > refused[v])
  :: else ->
     if
     :: refused[v] < applied[v] -> refused[v] = applied[v]
     :: else
     fi
  fi
}

/* The process restarts; without its disk it begins with an earlier state, until it is elected.  */
inline restart (v)
{
  leads[v] = false;
  open[v] = false;
  refused[v] = 0;
  if
  :: leader == v -> leader = VMS
  :: else
  fi;
  if
  :: applied[v] = 1
  :: true
  fi
}

active proctype group ()
{
  byte v;
  leader = VMS;
  do
  :: if
     :: v = 0
     :: v = 1
     fi;
     if
     :: atomic { leader != v -> elect (v) }
     :: atomic { leader == v && committed < VERSIONS -> commit (v) }
     :: atomic { acknowledged < committed -> acknowledged++ }
     :: atomic { applied[v] < committed -> applied[v]++ }
     :: atomic { leads[v] && leader != v -> leads[v] = false } /* it learns of the other leader */
     :: atomic { leads[v] && !open[v] -> open[v] = true; sent_at[v] = acknowledged }
     :: atomic { open[v] && leads[v] && CONFIRMED (v) -> answer (v) }
     :: atomic { open[v] -> open[v] = false } /* refused or given up */
     :: atomic { true -> restart (v) }
     fi
  od
}
