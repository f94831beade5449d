/* Commands, results and snapshot of a workflow group: jobs with steps that run on workers which
   the leader calls.  All strings and arrays are bounded here; the codec rejects longer ones.  */

const WORKFLOW_NAME_BYTES = 256;
const WORKFLOW_PAYLOAD_BYTES = 4000;
const WORKFLOW_CHECKPOINT_BYTES = 4000;
const WORKFLOW_MAX_STEPS = 64;
const WORKFLOW_MAX_TASKS = 20000;       /* per job, over all steps and occurrences */
const WORKFLOW_MAX_QUEUES = 8192;
const WORKFLOW_MAX_POOLS = 1024;
const WORKFLOW_MAX_ZONES = 64;
const WORKFLOW_MAX_JOBS = 200000;
const WORKFLOW_MAX_RUNS = 2;            /* concurrent runs of a task (speculative copies) */
const WORKFLOW_DOCUMENT_BYTES = 900000; /* keeps a command below PEER_ENTRY_BYTES */
const WORKFLOW_MAX_PRUNE = 4096;
const WORKFLOW_MAX_BLAMES = 200000;     /* in a snapshot */
const WORKFLOW_MAX_WITHDRAWN = 8192;    /* in a snapshot */
const WORKFLOW_MAX_DRAINING = 16384;
const WORKFLOW_MAX_ACCOUNTS = 16384;
const WORKFLOW_MAX_KEYS = 256;          /* of one account */
const WORKFLOW_SNAPSHOT_FORMAT = 1;

typedef string workflow_name<WORKFLOW_NAME_BYTES>;
typedef string workflow_checkpoint<WORKFLOW_CHECKPOINT_BYTES>;

/* Bits of workflow_step.flags.  */
const WORKFLOW_STEP_LASTING = 1;        /* runs until the job is cancelled; restarts after an end */
const WORKFLOW_STEP_FILL = 2;           /* uses CPU time left idle by other tasks */
const WORKFLOW_STEP_SPECULATIVE = 4;    /* copies may run concurrently; the first end counts */
const WORKFLOW_STEP_CHECKPOINTING = 8;
const WORKFLOW_STEP_GANG = 16;          /* tasks run only all together */
const WORKFLOW_STEP_RACK_LOCAL = 32;    /* slower when spread over several racks */

struct workflow_step
{
  unsigned count;
  unsigned millicores;
  unsigned memory_mb;
  unsigned accelerators;
  unsigned estimate_ms;                 /* estimated run time of a task */
  unsigned flags;
  unsigned after<WORKFLOW_MAX_STEPS>;   /* dependencies: earlier steps that must be done */
  workflow_name required_label;         /* "": none */
  workflow_name data_rack;              /* "": none */
  workflow_name image;                  /* tasks of one image behave alike; "": unknown */
  unsigned max_per_worker;              /* 0: no limit */
  unsigned target_ms;                   /* lasting: upper limit of response times; 0: none */
  unsigned max_unavailable;             /* lasting: tasks made unavailable at a time; 0: none */
};

struct workflow_spec
{
  unsigned hyper id;                    /* chosen by the customer, unique across all queues */
  workflow_name queue;
  string payload<WORKFLOW_PAYLOAD_BYTES>;
  workflow_step steps<WORKFLOW_MAX_STEPS>;
  unsigned repetitions;                 /* 0: once, immediately */
  hyper first_start_ms;                 /* Unix time of the first occurrence */
  hyper period_ms;                      /* between occurrences */
};

struct workflow_queue
{
  workflow_name name;
  workflow_name host;                   /* host of the requests that select this queue */
  workflow_name path_prefix;
  workflow_name pool;                   /* workers that run its tasks */
  unsigned priority;                    /* 0: highest */
  unsigned max_attempts;
  unsigned stretch_milli;               /* objective: stretch x critical path + target_ms */
  unsigned target_ms;
  unsigned timeout_ms;                  /* request timeout */
  bool needs_advice;                    /* starts need tickets of an external service */
};

struct workflow_pool
{
  workflow_name name;
  bool guards_room;                     /* workers refuse tasks that do not fit */
  bool standby;                         /* its machines are powered off */
};

struct workflow_configuration
{
  unsigned hyper revision;              /* 0: none yet */
  workflow_queue queues<WORKFLOW_MAX_QUEUES>;
  workflow_pool pools<WORKFLOW_MAX_POOLS>;
  opaque document<WORKFLOW_DOCUMENT_BYTES>; /* as received from the operator */
};

struct workflow_account
{
  workflow_name name;
  workflow_name keys<WORKFLOW_MAX_KEYS>;
  unsigned hyper weight_milli;          /* thousandths of a job a second */
  unsigned hyper millicores;            /* cap of what runs; 0: no limit, also below */
  unsigned hyper memory_mb;
  unsigned hyper accelerators;
};

struct workflow_accounts
{
  workflow_account list<WORKFLOW_MAX_ACCOUNTS>;
  workflow_name public_queues<WORKFLOW_MAX_QUEUES>; /* names; calls to them need no key */
};

struct workflow_account_configuration
{
  workflow_configuration configuration;
  workflow_accounts accounts;
};

struct workflow_account_submission
{
  workflow_name account;                /* "": none, on a public queue */
  workflow_spec spec;
};

struct workflow_zone_change
{
  workflow_name zone;
  bool out;
};

struct workflow_task_ref
{
  unsigned hyper job;
  unsigned occurrence;
  unsigned step;
  unsigned index;
};

struct workflow_place
{
  workflow_task_ref task;
  unsigned run;                         /* must be the last run number plus 1 */
  workflow_name worker;
};

enum workflow_outcome
{
  WORKFLOW_DONE = 1,
  WORKFLOW_FAILED = 2,                  /* counts as a failed attempt */
  WORKFLOW_STOPPED = 3,
  WORKFLOW_LAPSED = 4,                  /* the worker's lease expired */
  WORKFLOW_BROKEN = 5,                  /* another member of the gang ended */
  WORKFLOW_ALONE = 6,                   /* the gang could not be assembled */
  WORKFLOW_NOT_STARTED = 7,             /* this run has not started and never will */
  WORKFLOW_CRASHED = 8,                 /* its worker crashed, perhaps because of this run */
  WORKFLOW_CRASHED_BESIDE = 9,          /* its worker crashed soon after its start and later ones */
  WORKFLOW_OUTLIVED = 10,               /* its worker crashed long after its start */
  WORKFLOW_CRASHED_UNANSWERED = 11      /* as CRASHED, but it may not have started */
};

struct workflow_end
{
  workflow_task_ref task;
  unsigned run;
  workflow_outcome outcome;
  workflow_checkpoint checkpoint;       /* "": keeps the previous one */
};

/* A worker with runs that drains; replaces what was known of it.  */
struct workflow_drain
{
  workflow_name worker;
  hyper born_ms;                        /* of its incarnation */
  workflow_name address;
  workflow_name zone;
  workflow_name pool;
  bool left;                            /* it has said that it ends */
};

enum workflow_command_kind
{
  WORKFLOW_CONFIGURE = 1,
  WORKFLOW_ZONE = 2,
  WORKFLOW_SUBMIT = 3,
  WORKFLOW_CANCEL = 4,
  WORKFLOW_PLACE = 5,
  WORKFLOW_END = 6,
  WORKFLOW_PRUNE = 7,
  WORKFLOW_CONFIGURE_ACCOUNTS = 8,      /* as CONFIGURE, with client accounts */
  WORKFLOW_SUBMIT_AS = 9,               /* as SUBMIT, for a client account */
  WORKFLOW_DRAIN = 10
};

union workflow_command switch (workflow_command_kind kind)
{
case WORKFLOW_CONFIGURE:
  workflow_configuration configuration;
case WORKFLOW_ZONE:
  workflow_zone_change zone;
case WORKFLOW_SUBMIT:
  workflow_spec spec;
case WORKFLOW_CANCEL:
  unsigned hyper cancel;
case WORKFLOW_PLACE:
  workflow_place place;
case WORKFLOW_END:
  workflow_end end;
case WORKFLOW_PRUNE:
  unsigned hyper prune<WORKFLOW_MAX_PRUNE>; /* ids of jobs that ended long ago */
case WORKFLOW_CONFIGURE_ACCOUNTS:
  workflow_account_configuration accounts;
case WORKFLOW_SUBMIT_AS:
  workflow_account_submission submission;
case WORKFLOW_DRAIN:
  workflow_drain drain;
};

/* Result of a command: a status kind and, for SUBMIT, whether the job already existed.  */
struct workflow_result
{
  int status;
  bool known;
};

struct workflow_run_image
{
  unsigned run;
  workflow_name worker;
};

struct workflow_task_image
{
  unsigned state;
  unsigned last_run;
  unsigned failures;
  workflow_checkpoint checkpoint;
  workflow_run_image runs<WORKFLOW_MAX_RUNS>;
};

struct workflow_job_image
{
  workflow_spec spec;
  unsigned state;
  unsigned started;
  workflow_task_image tasks<WORKFLOW_MAX_TASKS>;
};

struct workflow_image
{
  unsigned format;
  workflow_configuration configuration;
  workflow_name zones_out<WORKFLOW_MAX_ZONES>;
  workflow_job_image jobs<WORKFLOW_MAX_JOBS>;
};

struct workflow_blame
{
  workflow_task_ref task;
  unsigned points;
  unsigned crashes;
};

/* Follows the workflow_image in a snapshot; snapshots of earlier builds end without it.  */
struct workflow_blame_image
{
  workflow_blame blames<WORKFLOW_MAX_BLAMES>;
};

/* Follows the blames; snapshots of earlier builds end without it, and earlier builds ignore it.  */
struct workflow_withdrawn_image
{
  unsigned hyper ids<WORKFLOW_MAX_WITHDRAWN>; /* oldest first */
};

/* Place of the queue of a job when the job was submitted; both "": not known.  */
struct workflow_origin
{
  workflow_name host;
  workflow_name path_prefix;
};

/* Follows the withdrawn ids; snapshots of earlier builds end without it, and earlier builds ignore
   it.  One for each job, in the order of the jobs in the image.  */
struct workflow_origin_image
{
  workflow_origin origins<WORKFLOW_MAX_JOBS>;
};

/* Follows the origins once client accounts have been in force or where workers drain; other snapshots,
   and those of earlier builds, end without it.  One owner for each job, in the order of the jobs in the image.  */
struct workflow_account_image
{
  workflow_accounts *accounts;          /* NULL: none in force */
  workflow_name owners<WORKFLOW_MAX_JOBS>; /* names of accounts; "": none */
};

/* Follows the accounts where workers drain; other snapshots, and those of earlier builds, end without
   it, and earlier builds ignore it.  */
struct workflow_drain_image
{
  workflow_drain drains<WORKFLOW_MAX_DRAINING>; /* oldest first */
};
