/* lists: edits of the operators' lists (src/registry*.c, src/operator_api.c).

   Two operators make two edits each.  An edit names the version it replaces, which the operator read
   from any VM, possibly a stale one.  Until it is answered, the operator retries the command with
   its request id through any VM.  A command may be lost, or committed while its answer is lost; a
   leader change can cause both.  Committed commands are ordered by the registry log (checked by
   raft.pml).  Three VMs apply it one entry at a time, or load a snapshot of another VM, and answer.

   Rules checked: one edit wins for each version; all answers to one request id are equal; the
   version of a VM never decreases.  */

#define VMS 3
#define EDITS 4 /* request ids; operator 0 makes 0 and 1, operator 1 makes 2 and 3 */
#ifndef ENTRIES
#define ENTRIES 5
#endif

#define NOT_MADE 0
#define OPEN 1     /* made, possibly retried, no answer yet */
#define ANSWERED 2

#define CONFLICT 1           /* answers: the version check failed */
#define ACCEPTED(v) (2 + (v)) /* the edit made version V */

typedef vm_state
{
  byte applied;
  byte version;
  byte answers[EDITS]; /* answer by request id, 0: none */
};

vm_state vm[VMS];
byte log[ENTRIES]; /* request id */
byte entries;
byte state[EDITS];
byte expected[EDITS];
byte first[EDITS];      /* first answer that any VM computed */
byte winner[EDITS + 1]; /* edit that replaced this version, plus 1 */
byte a;                 /* temporary */

#ifdef NO_REQUEST_IDS
#define KNOWN(v, r) false
#else
#define KNOWN(v, r) (vm[v].answers[r] != 0)
#endif
#ifdef NO_VERSION_CHECK
#define MATCHES(v, r) true
#else
#define MATCHES(v, r) (expected[r] == vm[v].version)
#endif

inline accept (v, r)
{
  assert (winner[expected[r]] == 0 || winner[expected[r]] == r + 1);
  winner[expected[r]] = r + 1;
  vm[v].version++;
  a = ACCEPTED (vm[v].version)
}

/* VM V applies its next entry, which contains edit R.  */
inline apply (v, r)
{
  if
  :: KNOWN (v, r) -> a = vm[v].answers[r]
  :: !KNOWN (v, r) && MATCHES (v, r) -> accept (v, r)
  :: else -> a = CONFLICT
  fi;
  vm[v].answers[r] = a;
  vm[v].applied++;
  assert (first[r] == 0 || first[r] == a);
  first[r] = a;
  a = 0
}

#ifdef TABLE_NOT_IN_SNAPSHOT
#define SAVED(w, r) 0
#else
#define SAVED(w, r) vm[w].answers[r]
#endif
#ifdef LOAD_OLD_SNAPSHOT
#define NEWER(v, w) (vm[w].applied != vm[v].applied)
#else
#define NEWER(v, w) (vm[w].applied > vm[v].applied)
#endif

inline load (v, w)
{
  assert (vm[w].version >= vm[v].version);
  vm[v].applied = vm[w].applied;
  vm[v].version = vm[w].version;
  vm[v].answers[0] = SAVED (w, 0);
  vm[v].answers[1] = SAVED (w, 1);
  vm[v].answers[2] = SAVED (w, 2);
  vm[v].answers[3] = SAVED (w, 3)
}

#define APPLY(v, r) :: d_step { vm[v].applied < entries && log[vm[v].applied] == r -> apply (v, r) }
#define LOAD(v, w) :: d_step { NEWER (v, w) -> load (v, w) }
#define VM(v, w, x) \
  APPLY (v, 0) APPLY (v, 1) APPLY (v, 2) APPLY (v, 3) LOAD (v, w) LOAD (v, x)

/* The operator reads the version of a VM and makes its next edit once the previous is answered.  */
#define MAKE(r, before, v) \
  :: d_step { state[r] == NOT_MADE && before -> state[r] = OPEN; expected[r] = vm[v].version }
#define EDIT(r, before) \
  MAKE (r, before, 0) MAKE (r, before, 1) MAKE (r, before, 2) \
  :: d_step { state[r] == OPEN && entries < ENTRIES -> log[entries] = r; entries++ } \
  :: d_step { state[r] == OPEN && first[r] -> state[r] = ANSWERED }

active proctype lists ()
{
  do
  VM (0, 1, 2)
  VM (1, 0, 2)
  VM (2, 0, 1)
  EDIT (0, true)
  EDIT (1, state[0] == ANSWERED)
  EDIT (2, true)
  EDIT (3, state[2] == ANSWERED)
  od
}
