/* log_sim: several groups on simulated disks, network and clocks, with safety checks.

   NOTES
   Everything derives from one seed.  Time is simulated and moves in steps.  After every input to a
   node sim_check compares it with everything that any node has committed; the first violation is
   kept in `failure`.  Used by the fault test and by the benchmarks on simulated time.  */

#ifndef SASSAFRAS_LOG_SIM_H
#define SASSAFRAS_LOG_SIM_H

#include <stdio.h>

#include "group.h"
#include "memory_disk.h"

#define SIM_MAX_NODES 24

struct sim;

/* The outcome reported for a proposed command.  */
enum sim_outcome
{
  SIM_PENDING,
  SIM_OK,
  SIM_REFUSED,
  SIM_UNKNOWN,
};

struct sim_machine
{
  struct machine machine; /* first member: the vtable */
  struct sim *sim;
  uint64_t node;
  uint64_t index; /* last applied */
  uint64_t count;
  uint64_t state_hash; /* hash of all commands in order */
};

struct sim_node
{
  uint64_t id; /* position + 1 */
  bool used;
  bool diskless;
  bool initialized; /* flag for the next start */
  struct memory_disk *disk;
  struct group *group; /* NULL while down */
  struct sim_machine machine;
  double rate; /* speed of its clock */
  int64_t offset_ms;
  int64_t restart_at_ms;      /* restart time while down, -1 for never */
  uint64_t checked;           /* commit index already checked */
  bool wiped;                 /* lost its disk after it was in use */
  int64_t authority_until_ms; /* on its clock: no other node may lead a later term before */
  bool transferred;           /* gave its authority up for the rest of its term */
};

struct sim_message
{
  int64_t at_us;
  uint64_t order;
  uint64_t from;
  uint64_t to;
  char *data;
  uint32_t len;
};

struct sim_config
{
  uint64_t seed;
  int voters;
  int learners;
  struct raft_timing timing;
  uint64_t snapshot_log_bytes;
  uint32_t append_bytes;
  uint32_t chunk_bytes;
  uint32_t state_bytes;   /* padding of a snapshot */
  bool unencodable_state; /* no snapshot can be taken */
  int64_t step_ms;
  int64_t authority_ms; /* of a leader, from the start of a confirmed read; 0: not checked */
};

struct sim
{
  struct sim_config config;
  struct rng rng;
  int64_t now_us;
  struct sim_node nodes[SIM_MAX_NODES];
  int nodes_len;
  raft_members bootstrap;

  struct sim_message *queue; /* binary heap by time */
  size_t queue_len;
  size_t queue_capacity;
  uint64_t order;
  double loss;
  double duplicate;
  int64_t delay_min_us;
  int64_t delay_max_us;
  bool partitioned[SIM_MAX_NODES][SIM_MAX_NODES];     /* from, to */
  int64_t delay_us[SIM_MAX_NODES][SIM_MAX_NODES];     /* fixed extra delay */
  int64_t link_free_us[SIM_MAX_NODES][SIM_MAX_NODES]; /* when the link has sent its backlog */
  uint64_t link_bytes_per_s;                          /* 0: unlimited */
  uint64_t sent_bytes[SIM_MAX_NODES];
  uint64_t received_bytes[SIM_MAX_NODES];
  int64_t longest_append_us; /* slowest delivery of an append to a peer */

  uint64_t *entry_terms;   /* by index: term of the committed entry */
  uint64_t *state_hashes;  /* by index: state after it */
  uint64_t index_capacity; /* capacity of both */
  uint64_t committed;      /* highest index any node has committed */
  raft_members members;    /* latest committed list */
  uint64_t members_index;
  uint64_t *leaders;      /* by term */
  uint64_t *votes;        /* by term and node */
  uint64_t term_capacity; /* capacity in terms */

  uint64_t next_command;
  uint8_t *outcomes; /* by command: what `done` reported */
  uint8_t *applied;  /* by command: in the log */
  uint64_t commands_capacity;
  uint64_t acknowledged; /* highest index whose command was acknowledged */
  uint64_t ok;
  uint64_t reads;
  uint64_t snapshots_installed;
  uint64_t elections;
  uint64_t new_leader; /* node that became leader since the caller cleared this */
  uint64_t new_voter;  /* node that granted a vote since then */

  bool failed;
  char failure[256];
  FILE *trace;
};

void sim_init (struct sim *s, const struct sim_config *config); /* Nodes are not started yet. */
void sim_close (struct sim *s);
void sim_step (struct sim *s); /* Advances by one step: deliveries, ticks, flushes. */
void sim_run_ms (struct sim *s, int64_t ms);
struct sim_node *sim_node (struct sim *s, uint64_t id);
struct sim_node *sim_leader (struct sim *s); /* Leader of the highest term, or NULL. */
struct sim_node *sim_add_node (struct sim *s, bool diskless); /* A new node with an empty disk. */
void sim_start (struct sim *s, struct sim_node *n);
void sim_crash (struct sim *s, struct sim_node *n, int64_t down_ms); /* Power loss. */
void sim_drop_from (struct sim *s, uint64_t node); /* Drops NODE's messages in flight. */
void sim_wipe (struct sim *s, struct sim_node *n, int64_t down_ms); /* Also empties its disk. */
void sim_propose (struct sim *s, struct sim_node *n, size_t bytes); /* A numbered command. */
void sim_read (struct sim *s, struct sim_node *n);    /* Confirms leadership, checks freshness. */
int sim_transfer (struct sim *s, struct sim_node *n); /* Transfers leadership; -1: refused. */
int64_t sim_local_ms (const struct sim *s, const struct sim_node *n); /* N's clock. */
void sim_check_end (struct sim *s); /* Compares outcomes with the log at the end. */
void sim_fail (struct sim *s, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
void sim_trace (struct sim *s, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
int64_t sim_now_ms (const struct sim *s);
void sim_reserve_index (struct sim *s, uint64_t index); /* Grows the per-index tables. */
extern const struct machine_ops sim_machine_ops;        /* A hash chain over all commands. */

#endif
