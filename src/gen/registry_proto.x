/* Commands, results and snapshot of the registry group.  Strings and arrays are bounded; the codec
   rejects longer ones.  A command starts with its time, so that the leader can set it in place. */

const REGISTRY_NAME_BYTES = 64;
const REGISTRY_ADDRESS_BYTES = 64;
const REGISTRY_LIST_BYTES = 1000000;    /* both lists together; a command stays below 1 MiB */
const REGISTRY_MESSAGE_BYTES = 256;
const REGISTRY_MAX_DATA_CENTRES = 64;
const REGISTRY_MAX_MEMBERS = 256;
const REGISTRY_MAX_CELLS = 64;          /* cells in which one VM is a voter */
const REGISTRY_MAX_ANSWERS = 4096;
const REGISTRY_SNAPSHOT_FORMAT = 1;

typedef string registry_name<REGISTRY_NAME_BYTES>;
typedef string registry_address<REGISTRY_ADDRESS_BYTES>;
typedef string registry_text<REGISTRY_LIST_BYTES>;

enum registry_kind
{
  REGISTRY_INIT = 1,           /* first members, from the members file */
  REGISTRY_SET_LISTS = 2,
  REGISTRY_DATA_CENTRE = 3,    /* take out or return */
  REGISTRY_STOPPED = 4,        /* a cell leader starts no more tasks */
  REGISTRY_IN_FORCE = 5,       /* the registry leader records an out command as in force */
  REGISTRY_MEMBER_ADD = 6,
  REGISTRY_MEMBER_REPLACE = 7,
  REGISTRY_MEMBER_REMOVE = 8,
  REGISTRY_MEMBER_DRAIN = 9,
  REGISTRY_CLOSE_EPOCH = 10
};

struct registry_member
{
  unsigned hyper node;         /* 0 in a command: the registry assigns the next id */
  registry_name vm;
  registry_name data_centre;
  registry_name region;
  registry_address peer;       /* ip:port */
  registry_address backend;
  registry_address operators;
  bool registry_voter;
  registry_name cells<REGISTRY_MAX_CELLS>;   /* data centres whose cell it is a voter of */
  bool draining;
  hyper since_ms;              /* Unix time of the last change, set by apply */
};

struct registry_init
{
  registry_member members<REGISTRY_MAX_MEMBERS>;
};

struct registry_set_lists
{
  unsigned hyper expected;     /* must be the current version */
  registry_text plans;         /* text of the file, already validated */
  registry_text customers;
};

struct registry_data_centre_change
{
  registry_name data_centre;
  bool out;
  bool compare;                /* reject unless expected is the current version */
  unsigned hyper expected;
};

struct registry_stopped
{
  registry_name data_centre;
  unsigned hyper out_version;  /* of the out command that it stopped for */
  unsigned hyper node;         /* the cell leader that stopped */
};

enum registry_in_force_reason
{
  REGISTRY_NOT_IN_FORCE = 0,
  REGISTRY_ACKNOWLEDGED = 1,   /* the cell leader stopped */
  REGISTRY_PERMIT_EXPIRED = 2  /* every permit has certainly expired */
};

struct registry_in_force
{
  registry_name data_centre;
  unsigned hyper out_version;
  registry_in_force_reason reason;
};

struct registry_drain
{
  registry_name vm;
  bool draining;
};

struct registry_close_epoch
{
  registry_name data_centre;
  unsigned hyper epoch;        /* must be the current epoch */
};

union registry_body switch (registry_kind kind)
{
  case REGISTRY_INIT: registry_init init;
  case REGISTRY_SET_LISTS: registry_set_lists lists;
  case REGISTRY_DATA_CENTRE: registry_data_centre_change data_centre;
  case REGISTRY_STOPPED: registry_stopped stopped;
  case REGISTRY_IN_FORCE: registry_in_force in_force;
  case REGISTRY_MEMBER_ADD: registry_member add;
  case REGISTRY_MEMBER_REPLACE: registry_member replace;
  case REGISTRY_MEMBER_REMOVE: registry_name remove;
  case REGISTRY_MEMBER_DRAIN: registry_drain drain;
  case REGISTRY_CLOSE_EPOCH: registry_close_epoch close_epoch;
};

struct registry_command
{
  hyper time_ms;               /* Unix time of the leader; the first 8 bytes of the encoding */
  registry_name request_id;    /* empty only for internal commands */
  registry_body body;
};

struct registry_result
{
  unsigned int status;         /* enum status_kind */
  string message<REGISTRY_MESSAGE_BYTES>;
  hyper accepted_ms;           /* Unix time of the leader */
  unsigned hyper index;        /* log index of the answered command */
  unsigned hyper current;      /* version of the lists or data centre after the command */
  unsigned hyper node;         /* member commands: id of the member */
  unsigned hyper epoch;        /* close epoch: the epoch now open */
};

struct registry_data_centre
{
  registry_name name;
  registry_name region;
  bool out;
  unsigned hyper state_version; /* incremented with each state change */
  hyper since_ms;
  unsigned hyper epoch;        /* of its cell; incremented when closed */
  hyper epoch_since_ms;
  unsigned hyper stopped_version;
  unsigned hyper stopped_node;
  registry_in_force_reason in_force;
  hyper in_force_ms;
  bool home;                   /* its cell can be the home of jobs and unrepeatable requests */
};

struct registry_answer
{
  registry_name request_id;
  unsigned hyper digest;       /* xxhash of the command without its time */
  registry_result result;
};

struct registry_snapshot
{
  unsigned int format;
  unsigned hyper applied;
  unsigned hyper lists_version;
  hyper lists_since_ms;
  registry_text plans;
  registry_text customers;
  registry_data_centre data_centres<REGISTRY_MAX_DATA_CENTRES>;
  registry_member members<REGISTRY_MAX_MEMBERS>;
  unsigned hyper next_node;
  registry_answer answers<REGISTRY_MAX_ANSWERS>;   /* oldest first */
};
