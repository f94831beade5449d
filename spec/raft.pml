/* raft: elections, commits and membership changes of one group (src/raft*.c).

   Three nodes, TERMS terms, logs of LOG entries.  A node may stop for any time and may campaign
   even while it is the leader, which is equivalent to a crash and restart: the role is lost; term,
   vote and log are durable.  Sent messages stay in the history of their term, so a receiver may
   process any of them late, more than once or never: vote requests and votes in `asked` and
   `votes`, appends as prefixes of the log of the term's leader, answers to appends in `ack`.

   An entry is the term that wrote it and, for a membership change, the set of voters.
   Not modelled: pre-vote, check-quorum, learners, store ids, snapshots, leadership transfer. They
   only prevent elections or votes, or shorten the log.  */

#ifndef TERMS
#define TERMS 4
#endif
#ifndef LOG
#define LOG 2
#endif
#define N 3
#define ALL 7 /* initial set of voters */

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define ENTRY(t, voters) ((t) * 8 + (voters)) /* voters 0: a command */
#define TERM_OF(e) ((e) / 8)
#define VOTERS_OF(e) ((e) % 8)
#define BIT(n) (1 << (n))
#define COUNT(s) (((s) & 1) + (((s) / 2) & 1) + (((s) / 4) & 1))
#define MAJORITY(s, voters) (2 * COUNT ((s) & (voters)) > COUNT (voters))

typedef node
{
  byte term;
  byte vote; /* node + 1, 0: none */
  byte role;
  byte size;
  byte log[LOG];
};

/* Messages sent in one term.  Votes and vote requests are stored per candidate.  */
typedef history
{
  byte leader; /* node + 1 */
  byte commit; /* commit index of that leader */
  byte size;    /* log size of that leader, which only grows within its term */
  byte log[LOG];
  byte ack[N];   /* entries that each node has stored and acknowledged */
  byte asked[N]; /* 0: no vote request; else 1 + last term * (LOG + 1) + length */
  byte votes[N]; /* set of granted votes */
};

node n[N];
history h[TERMS + 1];
byte j; /* scratch, 0 between steps */
byte committed[LOG];    /* entries that any leader has committed, 0: none */
byte committed_in[LOG]; /* lowest term in which each was committed */

#define LAST_TERM(i) (n[i].size == 0 -> 0 : TERM_OF (n[i].log[n[i].size - 1]))
#define VOTERS(i) \
  ((n[i].size > 1 && VOTERS_OF (n[i].log[1])) -> VOTERS_OF (n[i].log[1]) : \
    ((n[i].size > 0 && VOTERS_OF (n[i].log[0])) -> VOTERS_OF (n[i].log[0]) : ALL))
/* Position of the active membership change, 0: none.  */
#define CHANGE_AT(i) \
  ((n[i].size > 1 && VOTERS_OF (n[i].log[1])) -> 2 : \
    ((n[i].size > 0 && VOTERS_OF (n[i].log[0])) -> 1 : 0))

inline forget_candidate (t, c)
{
  h[t].ack[c] = 0;
  h[t].asked[c] = 0;
  h[t].votes[c] = 0
}

/* Messages of a term below every node's term have no effect any more; clearing them merges states
   that differ only in them.  */
inline forget_past ()
{
  j = 1;
  do
  :: j <= TERMS && n[0].term > j && n[1].term > j && n[2].term > j ->
    h[j].leader = 0;
    h[j].commit = 0;
    h[j].size = 0;
    h[j].log[0] = 0;
    h[j].log[1] = 0;
    forget_candidate (j, 0);
    forget_candidate (j, 1);
    forget_candidate (j, 2);
    j++
  :: else -> break
  od;
  j = 0
}

inline adopt_term (i, t)
{
  if
  :: t > n[i].term ->
    n[i].term = t;
    n[i].vote = 0;
    n[i].role = FOLLOWER;
    forget_past ()
  :: else
  fi
}

inline campaign (i)
{
  n[i].term++;
  n[i].vote = i + 1;
  n[i].role = CANDIDATE;
  h[n[i].term].asked[i] = 1 + LAST_TERM (i) * (LOG + 1) + n[i].size;
  h[n[i].term].votes[i] = BIT (i);
  forget_past ()
}

#ifdef NO_LOG_CHECK
#define LOG_IS_CURRENT(i, request) true
#else
#define LOG_IS_CURRENT(i, request) (request >= 1 + LAST_TERM (i) * (LOG + 1) + n[i].size)
#endif

/* Node I handles the vote request of candidate C in term T.  */
inline answer_vote (i, c, t)
{
  adopt_term (i, t);
  if
  :: n[i].vote == 0 && LOG_IS_CURRENT (i, h[t].asked[c]) ->
    n[i].vote = c + 1;
    h[t].votes[c] = h[t].votes[c] | BIT (i)
  :: else
  fi
}

/* Every committed entry must be in the log of each leader of a later term.  */
#define HOLDS(t, k) \
  (committed_in[k] == 0 || committed_in[k] >= t || (h[t].size > k && h[t].log[k] == committed[k]))
inline check_leader_of_j ()
{
  assert (HOLDS (j, 0));
  assert (HOLDS (j, 1))
}

inline win (i)
{
  j = n[i].term;
  assert (h[j].leader == 0); /* at most one leader per term */
  n[i].role = LEADER;
  h[j].leader = i + 1;
  h[j].size = n[i].size;
  h[j].log[0] = n[i].log[0];
  h[j].log[1] = n[i].log[1];
  h[j].ack[i] = n[i].size;
  check_leader_of_j ();
  j = 0
}

inline append (i, voters)
{
  j = n[i].term;
  n[i].log[n[i].size] = ENTRY (j, voters);
  h[j].log[n[i].size] = n[i].log[n[i].size];
  n[i].size++;
  h[j].size = n[i].size;
  h[j].ack[i] = n[i].size;
  j = 0
}

/* Node I stores entry K (from 1) of term T's leader, or drops the message if the preceding entry
   differs.  K = 0 is a heartbeat.  */
inline store (i, t, k)
{
  adopt_term (i, t);
  n[i].role = FOLLOWER;
  if
  :: k == 0 || (k == 2 && (n[i].size == 0 || n[i].log[0] != h[t].log[0]))
  :: else ->
    if
    :: n[i].size >= k && n[i].log[k - 1] == h[t].log[k - 1]
    :: else ->
      n[i].log[k - 1] = h[t].log[k - 1];
      n[i].size = k;
      if
      :: k == 1 -> n[i].log[1] = 0
      :: else
      fi
    fi;
    if
    :: h[t].ack[i] < k -> h[t].ack[i] = k
    :: else
    fi
  fi
}

#define STORED(t, k) \
  (BIT (0) * (h[t].ack[0] >= k) + BIT (1) * (h[t].ack[1] >= k) + BIT (2) * (h[t].ack[2] >= k))

#ifdef COMMIT_OLD_TERM
#define MAY_COMMIT(t, k) true
#else
#define MAY_COMMIT(t, k) (TERM_OF (h[t].log[k - 1]) == t)
#endif

inline commit_entry (k)
{
  assert (committed[k] == 0 || committed[k] == h[j].log[k]);
  committed[k] = h[j].log[k];
  if
  :: committed_in[k] == 0 || committed_in[k] > j -> committed_in[k] = j
  :: else
  fi
}

inline commit_up_to (i, k)
{
  j = n[i].term;
  h[j].commit = k;
  commit_entry (0);
  if
  :: k == 2 -> commit_entry (1)
  :: else
  fi;
  j++;
  do
  :: j <= TERMS ->
    if
    :: h[j].leader -> check_leader_of_j ()
    :: else
    fi;
    j++
  :: else -> break
  od;
  j = 0
}

#define LEADS(i) (n[i].role == LEADER)
#define COMMITTED_OWN(i) \
  (h[n[i].term].commit > 0 && TERM_OF (h[n[i].term].log[h[n[i].term].commit - 1]) == n[i].term)
#define MAY_CHANGE(i) \
  (LEADS (i) && n[i].size < LOG && CHANGE_AT (i) <= h[n[i].term].commit && COMMITTED_OWN (i))
/* Symmetry reduction: the first node to act is numbered 0 and the second 1.  */
#define MAY_ACT(i) (i == 0 || (i == 1 && n[0].term) || (i == 2 && n[1].term))
#define CAMPAIGN(i) \
  :: d_step { MAY_ACT (i) && n[i].term < TERMS && (VOTERS (i) & BIT (i)) -> campaign (i) }
#define ANSWER(i, c, t) \
  :: d_step { \
    MAY_ACT (i) && h[t].asked[c] && n[i].term <= t && n[i].vote != c + 1 -> answer_vote (i, c, t) \
  }
#define WIN(i) \
  :: d_step { \
    n[i].role == CANDIDATE && MAJORITY (h[n[i].term].votes[i], VOTERS (i)) -> win (i) \
  }
#define APPEND(i) :: d_step { LEADS (i) && n[i].size < LOG -> append (i, 0) }
#define STORE(i, t, k) \
  :: d_step { \
    MAY_ACT (i) && h[t].leader && h[t].leader != i + 1 && n[i].term <= t && k <= h[t].size \
      -> store (i, t, k) \
  }
#define COMMIT(i, k) \
  :: d_step { \
    LEADS (i) && n[i].size >= k && h[n[i].term].commit < k && MAY_COMMIT (n[i].term, k) \
        && MAJORITY (STORED (n[i].term, k), VOTERS (i)) -> commit_up_to (i, k) \
  }
#define CHANGE(i, voters) \
  :: d_step { \
    MAY_CHANGE (i) && (voters & BIT (i)) && DIFFERS (VOTERS (i), voters) -> append (i, voters) \
  }
#ifdef CHANGE_TWO
#define DIFFERS(a, b) (COUNT (a ^ b) > 0)
#else
#define DIFFERS(a, b) (COUNT (a ^ b) == 1)
#endif
#ifdef VOTE_NOT_DURABLE
#define CRASH(i) :: d_step { n[i].vote -> n[i].role = FOLLOWER; n[i].vote = 0 }
#else
#define CRASH(i)
#endif

#define EACH_TERM(X, i, c) X (i, c, 1) X (i, c, 2) X (i, c, 3) X (i, c, 4)
#define STORES(i, t) STORE (i, t, 0) STORE (i, t, 1) STORE (i, t, 2)
#define NODE(i, a, b) \
  CAMPAIGN (i) WIN (i) APPEND (i) CRASH (i) COMMIT (i, 1) COMMIT (i, 2) \
  EACH_TERM (ANSWER, i, a) EACH_TERM (ANSWER, i, b) \
  STORES (i, 1) STORES (i, 2) STORES (i, 3) STORES (i, 4) \
  CHANGE (i, 1) CHANGE (i, 2) CHANGE (i, 3) CHANGE (i, 4) CHANGE (i, 5) CHANGE (i, 6) CHANGE (i, 7)

active proctype raft ()
{
  do
  NODE (0, 1, 2)
  NODE (1, 0, 2)
  NODE (2, 0, 1)
  od
}
