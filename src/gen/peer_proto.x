/* Messages between the daemons.  The codec enforces the bounds of strings and arrays. */

const PEER_NAME_BYTES = 64;
const PEER_ENTRY_BYTES = 1048576;
const PEER_MAX_ENTRIES = 1024;
const PEER_CHUNK_BYTES = 65536;
const PEER_COMMAND_BYTES = 1048576;
const PEER_MAX_MEMBERS = 64;
const PEER_MAX_RUNNERS = 1024;
const PEER_MAX_CELLS = 64;
const PEER_MAX_CUSTOMERS = 256;
const PEER_MESSAGE_BYTES = 1200;
const PEER_ORDERS_BYTES = 2097152;

typedef string peer_name<PEER_NAME_BYTES>;

/* First call on every connection.  Refused for an unknown VM, another deployment or an earlier
   incarnation of a VM.  */
struct peer_hello
{
  peer_name deployment;
  peer_name vm;
  peer_name data_centre;
  unsigned hyper node;        /* member id of this VM; changes when its disk is replaced */
  unsigned hyper incarnation; /* increases with every start of the process */
  bool initialized;           /* the sender has state of its groups; false on an empty disk */
};

enum raft_message_type
{
  RAFT_PRE_VOTE_REQUEST = 1,
  RAFT_PRE_VOTE_REPLY = 2,
  RAFT_VOTE_REQUEST = 3,
  RAFT_VOTE_REPLY = 4,
  RAFT_APPEND_REQUEST = 5,
  RAFT_APPEND_REPLY = 6,
  RAFT_SNAPSHOT_CHUNK = 7,
  RAFT_SNAPSHOT_REPLY = 8,
  RAFT_TIMEOUT_NOW = 9
};

enum raft_entry_kind
{
  RAFT_ENTRY_COMMAND = 1, /* applied to the state machine */
  RAFT_ENTRY_NOOP = 2,    /* first entry of a leader's term */
  RAFT_ENTRY_MEMBERS = 3  /* data is an encoded raft_members */
};

struct raft_member
{
  unsigned hyper node;
  bool voter;           /* false: a learner */
  unsigned hyper store; /* id of the store that is allowed to vote for this member */
};

struct raft_members
{
  raft_member members<PEER_MAX_MEMBERS>;
};

struct raft_entry
{
  unsigned hyper index;
  unsigned hyper term;
  raft_entry_kind kind;
  opaque data<PEER_ENTRY_BYTES>;
};

struct raft_message
{
  unsigned hyper group;     /* 0 is the registry, 1 and up are cells */
  raft_message_type type;
  unsigned hyper from;
  unsigned hyper to;
  unsigned hyper term;
  unsigned hyper log_index; /* previous entry (append), last entry (vote), match or hint (replies) */
  unsigned hyper log_term;
  unsigned hyper commit;
  bool granted;             /* replies: vote granted, append accepted, chunk stored */
  unsigned hyper round;     /* of read-index and check-quorum, or a candidate's store; echoed in replies */
  unsigned int stream;      /* appends: incremented per handled rejection; echoed in replies */
  unsigned hyper store;     /* vote requests: store the candidate expects; replies: the sender's */
  raft_entry entries<PEER_MAX_ENTRIES>;
  unsigned hyper chunk_offset;
  unsigned hyper chunk_total;
  raft_members chunk_members;
  opaque chunk<PEER_CHUNK_BYTES>;
};

/* A command forwarded to the leader of a group by the VM that received it.  */
struct propose_args
{
  unsigned hyper group;
  opaque command<PEER_COMMAND_BYTES>;
};

struct propose_reply
{
  unsigned int status;      /* enum status_kind */
  string message<PEER_MESSAGE_BYTES>;
  unsigned hyper leader;    /* leader as known to the sender, 0 when unknown */
  opaque result<PEER_COMMAND_BYTES>;
};

/* Free capacity of one cell, sent with its permit request.  */
struct cell_capacity
{
  peer_name data_centre;
  unsigned hyper free_millicores;
  unsigned hyper free_memory_mb;
  unsigned hyper free_accelerators;
  unsigned int pending_tasks;
};

struct permit_request
{
  peer_name data_centre;
  unsigned hyper asked;     /* opaque to the granter; echoed */
  cell_capacity capacity;
};

struct permit_grant
{
  bool granted;
  unsigned hyper asked;
  unsigned int life_ms;     /* counted by the receiver from its request */
  unsigned hyper cell_epoch;
  cell_capacity cells<PEER_MAX_CELLS>;
};

struct runner_entry
{
  peer_name id;
  peer_name service;
  peer_name data_centre;
  peer_name address;        /* ip:port */
  unsigned hyper incarnation;
  unsigned int slots;
  unsigned int connections;
  unsigned int in_flight;
  bool departing;
};

/* Limits of one customer: how much of its equal share the sender lends to the receiver, for 2 s
   from echo, and whether the sender wants to borrow.  */
struct customer_usage
{
  peer_name customer;
  unsigned int lent;        /* requests in flight */
  unsigned int lent_rate;   /* requests per second */
  bool wants;
  bool wants_rate;
};

/* All runners announced to the sender.  An unchanged version without runners renews all of them. */
struct runner_digest
{
  unsigned hyper table_version;
  bool full;                /* runners is the complete table at this version */
  unsigned hyper base_version;
  unsigned hyper echo;      /* `asked` of the receiver's last reply, or 0; leases count from it */
  runner_entry runners<PEER_MAX_RUNNERS>;
  customer_usage usage<PEER_MAX_CUSTOMERS>;
};

struct runner_digest_reply
{
  unsigned hyper table_version;   /* version the receiver has; a mismatch requests the full table */
  unsigned hyper asked;           /* the receiver's clock, echoed by the next digest */
};

/* Orders to workers that the receiver calls, or their outcomes: see orders_proto.x.  */
struct peer_orders
{
  opaque data<PEER_ORDERS_BYTES>;
};

program SASSAFRAS_PEER
{
  version SASSAFRAS_PEER_V1
  {
    void PEER_NULL (void) = 0;      /* keepalive */
    peer_hello PEER_HELLO (peer_hello) = 1;
    void PEER_RAFT (raft_message) = 2; /* one-way: never answered */
    propose_reply PEER_PROPOSE (propose_args) = 3;
    permit_grant PEER_PERMIT (permit_request) = 4;
    runner_digest_reply PEER_RUNNERS (runner_digest) = 5;
    void PEER_ORDERS (peer_orders) = 6; /* one-way: never answered */
  } = 1;
} = 0x2fa55a01;
